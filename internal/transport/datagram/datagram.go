// Package datagram sends small messages between daemons without waiting for
// anybody. Messages may be lost, repeated or reordered.
package datagram

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"

	"google.golang.org/protobuf/proto"
)

// maxBytes bounds one message.
const maxBytes = 32 << 10

// Socket sends to and receives from other daemons. It is safe for concurrent
// use.
type Socket struct {
	conn *net.UDPConn

	mu    sync.Mutex
	peers []netip.AddrPort
	// failed counts messages that could not be sent since the last one that was.
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
	return &Socket{conn: conn}, nil
}

// SetPeers replaces the receivers. Addresses that cannot be read are left out
// and returned.
func (s *Socket) SetPeers(addresses []string) (malformed []string) {
	var peers []netip.AddrPort
	for _, a := range addresses {
		at, err := netip.ParseAddrPort(a)
		if err != nil {
			malformed = append(malformed, a)
			continue
		}
		peers = append(peers, at)
	}
	s.mu.Lock()
	s.peers = peers
	s.mu.Unlock()
	return malformed
}

// Send sends a message to every peer. Messages that the network does not take
// are counted and lost.
func (s *Socket) Send(m proto.Message) error {
	data, err := proto.Marshal(m)
	if err != nil {
		return fmt.Errorf("encode a datagram: %w", err)
	}
	if len(data) > maxBytes {
		return fmt.Errorf("datagram of %d bytes is larger than %d", len(data), maxBytes)
	}
	s.mu.Lock()
	peers := s.peers
	s.mu.Unlock()
	failed := 0
	for _, p := range peers {
		if _, err := s.conn.WriteToUDPAddrPort(data, p); err != nil {
			failed++
		}
	}
	s.mu.Lock()
	s.failed += failed
	s.mu.Unlock()
	return nil
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
