// Package proxy is a TCP relay on loopback that misbehaves on request: it
// delays, resets, cuts one direction or falls silent.
package proxy

import (
	"net"
	"sync"
	"time"
)

// Mode is how a proxy treats its connections.
type Mode int

// Modes.
const (
	// Pass hands everything on.
	Pass Mode = iota
	// Delay hands everything on late.
	Delay
	// Silence accepts and hands nothing on in either direction.
	Silence
	// OneWay hands requests on and no answers.
	OneWay
	// Refuse resets new connections.
	Refuse
)

const (
	bufferSize = 16 << 10
	delayTime  = 120 * time.Millisecond
	pollTime   = 10 * time.Millisecond
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

// Address is where the proxy listens.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Set changes how connections are treated, also the open ones.
func (p *Proxy) Set(m Mode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.mode = m
}

func (p *Proxy) get() Mode {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.mode
}

// Reset resets every open connection.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // closed in any case
	}
	_ = c.Close()
}

func (p *Proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return // closed
		}
		if p.get() == Refuse {
			reset(c)
			continue
		}
		go p.serve(c)
	}
}

func (p *Proxy) serve(c net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(c)
		return
	}
	p.track(c, true)
	p.track(to, true)
	var both sync.WaitGroup
	both.Go(func() { p.relay(to, c, Silence) })
	both.Go(func() { p.relay(c, to, Silence, OneWay) })
	both.Wait()
	p.track(c, false)
	p.track(to, false)
	_ = c.Close()
	_ = to.Close()
}

func (p *Proxy) track(c net.Conn, on bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if on {
		p.conns[c] = true
	} else {
		delete(p.conns, c)
	}
}

// relay copies one direction and holds it while the mode is one of held.
func (p *Proxy) relay(to, from net.Conn, held ...Mode) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		p.wait(held)
		if n > 0 {
			if _, werr := to.Write(buf[:n]); werr != nil {
				_ = from.Close()
				return
			}
		}
		if err != nil {
			if tcp, ok := to.(*net.TCPConn); ok {
				_ = tcp.CloseWrite()
			}
			return
		}
	}
}

func (p *Proxy) wait(held []Mode) {
	if p.get() == Delay {
		time.Sleep(delayTime)
	}
	for {
		mode, blocked := p.get(), false
		for _, h := range held {
			blocked = blocked || mode == h
		}
		if !blocked {
			return
		}
		time.Sleep(pollTime)
	}
}
