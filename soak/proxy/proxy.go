// Package proxy is a TCP proxy that injects faults: it delays data, stalls one or
// both directions, refuses connections or resets them.
package proxy

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/standin/listen"
)

// Mode is the fault that a proxy injects into its connections.
type Mode int

// The modes of a proxy.
const (
	// Pass forwards all data.
	Pass Mode = iota
	// Delay forwards all data after a delay.
	Delay
	// Stall accepts connections and forwards no data in either direction.
	Stall
	// StallResponses forwards requests and no responses.
	StallResponses
	// Refuse resets new connections.
	Refuse
)

const (
	bufferSize   = 16 << 10
	addedDelay   = 120 * time.Millisecond
	pollInterval = 10 * time.Millisecond
)

// Proxy relays connections to one target.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  Mode
	conns map[net.Conn]bool
}

// New starts a proxy on the address IP:PORT.
func New(address, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

// Address returns the address on which the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetMode sets the mode of open and new connections. Refuse affects only new ones.
func (p *Proxy) SetMode(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *Proxy) currentMode() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Reset resets every open connection.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		listen.Reset(c)
	}
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		if p.currentMode() == Refuse {
			listen.Reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	upstream, err := net.Dial("tcp", p.target)
	if err != nil {
		listen.Reset(c)
		return
	}
	p.track(c, true)
	p.track(upstream, true)
	near, far := &side{Conn: c}, &side{Conn: upstream}
	var directions sync.WaitGroup
	directions.Go(func() { p.relay(far, near, Stall) })
	directions.Go(func() { p.relay(near, far, Stall, StallResponses) })
	directions.Wait()
	p.track(c, false)
	p.track(upstream, false)
	_ = c.Close()
	_ = upstream.Close()
}

func (p *Proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// side is one of the two connections of a relayed exchange.
type side struct {
	net.Conn
	// writing is held during a write; failed is set once one has failed. A failed write
	// consumes the error of the socket, so that reads end in order after a reset.
	writing sync.Mutex
	failed  bool
}

// Write implements io.Writer.
func (s *side) Write(b []byte) (int, error) {
	s.writing.Lock()
	defer s.writing.Unlock()
	n, err := s.Conn.Write(b)
	s.failed = s.failed || err != nil
	return n, err
}

// writeFailed reports whether a write has failed. It waits for the one that is under way.
func (s *side) writeFailed() bool {
	s.writing.Lock()
	defer s.writing.Unlock()
	return s.failed
}

// relay copies data in one direction and stalls while the mode is one of
// heldModes. An orderly close would look like the end of a response, so it passes on a reset
// as a reset.
func (p *Proxy) relay(to, from *side, heldModes ...Mode) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		p.hold(heldModes)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				listen.Reset(from.Conn)
				return
			}
		}
		if errors.Is(err, io.EOF) && !from.writeFailed() {
			if tcp, ok := to.Conn.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
		if err != nil {
			listen.Reset(to.Conn)
			return
		}
	}
}

// hold delays its caller if the mode is Delay, and blocks it while the mode is one
// of heldModes.
func (p *Proxy) hold(heldModes []Mode) {
	if p.currentMode() == Delay {
		time.Sleep(addedDelay)
	}
	for {
		mode, blocked := p.currentMode(), false
		for _, h := range heldModes {
			blocked = blocked || mode == h
		}
		if !blocked {
			return
		}
		time.Sleep(pollInterval)
	}
}
