// Package listen provides the HTTP server of the stand-ins. It can stop traffic
// on connections that stay open, and it can crash and restart at the same
// address.
package listen

import (
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Server serves a handler at one address. It is safe for concurrent use.
type Server struct {
	handler http.Handler

	mu       sync.Mutex
	address  string
	server   *http.Server
	listener net.Listener
	conns    map[*conn]struct{}
	restart  *time.Timer
	closed   bool
	// silentNew makes new connections silent.
	silentNew bool
	accepted  atomic.Int64
}

// Start listens on address and serves until Close.
func Start(address string, h http.Handler) (*Server, error) {
	s := &Server{handler: h, address: address, conns: make(map[*conn]struct{})}
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the listen address with the actual port.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Accepted returns the number of connections accepted so far.
func (s *Server) Accepted() int { return int(s.accepted.Load()) }

// Open returns the number of open connections.
func (s *Server) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

func (s *Server) listen() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.server != nil {
		return nil
	}
	l, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	s.address = l.Addr().String()
	s.listener = l
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go s.server.Serve(&listener{Listener: l, server: s}) // ends with Close
	return nil
}

// SilenceOpen makes the currently open connections silent for good.
func (s *Server) SilenceOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// SilenceNew sets whether new connections are silent: accepted but never
// answered.
func (s *Server) SilenceNew(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentNew = on
}

// Crash resets every connection and refuses new ones. With a positive pause the
// server listens again at the same address after that time.
func (s *Server) Crash(pause time.Duration) {
	s.mu.Lock()
	server := s.server
	if server != nil {
		// Free the address before a caller can notice the crash and call Restart.
		_ = s.listener.Close()
	}
	s.server = nil
	conns := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		conns = append(conns, c)
	}
	if pause > 0 && !s.closed {
		s.restart = time.AfterFunc(pause, func() { _ = s.listen() })
	}
	s.mu.Unlock()
	if server == nil {
		return
	}
	for _, c := range conns {
		c.reset()
	}
	_ = server.Close()
}

// Restart listens again after Crash(0).
func (s *Server) Restart() error { return s.listen() }

// Close stops the server for good.
func (s *Server) Close() {
	s.mu.Lock()
	s.closed = true
	if s.restart != nil {
		s.restart.Stop()
	}
	s.mu.Unlock()
	s.Crash(0)
}

type listener struct {
	net.Listener
	server *Server
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, server: l.server}
	l.server.accepted.Add(1)
	l.server.mu.Lock()
	l.server.conns[c] = struct{}{}
	c.silent.Store(l.server.silentNew)
	l.server.mu.Unlock()
	return c, nil
}

// conn is a connection that can be made silent.
type conn struct {
	net.Conn
	server *Server
	silent atomic.Bool
}

// Read implements net.Conn. A silent connection discards the bytes it receives.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection discards what is written.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset.
func (c *conn) reset() {
	Reset(c.Conn)
	_ = c.Close() // only removes it from the open connections
}

// Reset closes a connection with a TCP reset, which its peer can tell from an orderly
// close.
func Reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // the connection is closed even if this fails
	}
	_ = c.Close()
}
