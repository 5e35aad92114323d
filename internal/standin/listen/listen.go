// Package listen is the server under the stand-ins. Its connections can go
// silent while they stay open, and the server can die and come back at the same
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

	mu      sync.Mutex
	address string
	server  *http.Server
	socket  net.Listener
	conns   map[*conn]struct{}
	restart *time.Timer
	closed  bool
	// silentNew makes every new connection silent.
	silentNew bool
	accepted  atomic.Int64
}

// Start listens and serves until Close.
func Start(address string, h http.Handler) (*Server, error) {
	s := &Server{handler: h, address: address, conns: make(map[*conn]struct{})}
	if err := s.listen(); err != nil {
		return nil, err
	}
	return s, nil
}

// Addr returns the address with the real port.
func (s *Server) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.address
}

// Accepted counts the connections so far.
func (s *Server) Accepted() int { return int(s.accepted.Load()) }

// Open counts the connections that are open now.
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
	s.socket = l
	s.server = &http.Server{Handler: s.handler, ReadHeaderTimeout: time.Minute, ErrorLog: slog.NewLogLogger(slog.DiscardHandler, slog.LevelError)}
	go s.server.Serve(&listener{Listener: l, server: s}) // ends with Close
	return nil
}

// SilenceOpen makes the connections that are open now silent for good.
func (s *Server) SilenceOpen() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.silent.Store(true)
	}
}

// SilenceNew makes new connections silent: they are accepted and nothing is
// answered on them.
func (s *Server) SilenceNew(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silentNew = on
}

// Crash resets every connection and refuses new ones. With a positive pause
// the server comes back at the same address.
func (s *Server) Crash(pause time.Duration) {
	s.mu.Lock()
	server := s.server
	if server != nil {
		// Frees the address before a caller can notice the crash and restart.
		_ = s.socket.Close()
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

// Restart listens again after a Crash without pause.
func (s *Server) Restart() error { return s.listen() }

// Close ends the server.
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

// conn is a connection that can go silent.
type conn struct {
	net.Conn
	server *Server
	silent atomic.Bool
}

// Read implements net.Conn. A silent connection takes bytes and shows none.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write implements net.Conn. A silent connection drops what is written.
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

// reset closes the connection as the death of a process does.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
