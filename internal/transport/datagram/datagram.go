// Package datagram exchanges small protobuf messages between daemons over UDP.
// Messages may be lost, duplicated or reordered.
package datagram

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"google.golang.org/protobuf/proto"
)

const (
	// maxBytes bounds one message.
	maxBytes = 32 << 10
	// maxDecoded bounds the cache of parsed addresses.
	maxDecoded = 4096
)

// Socket sends to and receives from other daemons. It is safe for concurrent
// use.
type Socket struct {
	conn *net.UDPConn

	mu      sync.Mutex
	decoded map[string]netip.AddrPort
	// failed counts the failed sends since the last call of Failed.
	failed int
}

// Listen opens a socket at IP:PORT.
func Listen(address string) (*Socket, error) {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, fmt.Errorf("datagram address %q: %w", address, err)
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	if err != nil {
		return nil, fmt.Errorf("listen for datagrams: %w", err)
	}
	return &Socket{conn: conn, decoded: map[string]netip.AddrPort{}}, nil
}

// Send sends a message to IP:PORT. A message that the operating system does not
// accept is dropped and counted (see Failed).
func (s *Socket) Send(to string, m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode a datagram: %w", err)
	}
	if len(data) > maxBytes {
		return fmt.Errorf("datagram of %d bytes is larger than %d", len(data), maxBytes)
	}
	at, err := s.resolve(to)
	if err != nil {
		return err
	}
	if _, err := s.conn.WriteToUDPAddrPort(data, at); err != nil {
		s.mu.Lock()
		s.failed++
		s.mu.Unlock()
	}
	return nil
}

// resolve parses an address, using the cache.
func (s *Socket) resolve(to string) (netip.AddrPort, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if at, ok := s.decoded[to]; ok {
		return at, nil
	}
	at, err := netip.ParseAddrPort(to)
	if err != nil {
		return at, fmt.Errorf("datagram to %q: %w", to, err)
	}
	if len(s.decoded) >= maxDecoded {
		clear(s.decoded)
	}
	s.decoded[to] = at
	return at, nil
}

// Failed returns how many sends failed since the last call.
func (s *Socket) Failed() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.failed
	s.failed = 0
	return n
}

// Receive calls handle with the bytes of each message until the socket is
// closed. The bytes are valid during the call only.
func (s *Socket) Receive(handle func(data []byte)) error {
	buf := make([]byte, maxBytes)
	for {
		n, _, err := s.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("receive a datagram: %w", err)
		}
		handle(buf[:n])
	}
}

// Close closes the socket.
func (s *Socket) Close() error { return s.conn.Close() }
