package datagram

import (
	"testing"

	"google.golang.org/protobuf/types/known/wrapperspb"
)

// Guards against an invalid address that prevents sends to other peers.
func TestSendToPeers(t *testing.T) {
	sender, err := Listen("127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = sender.Close() }()
	got := make(chan int, 2)
	var addresses []string
	for range 2 {
		s, err := Listen("127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = s.Close() }()
		addresses = append(addresses, s.conn.LocalAddr().String())
		go func() {
			if err := s.Receive(func(data []byte) { got <- len(data) }); err != nil {
				t.Error(err)
			}
		}()
	}
	if err := sender.Send("nowhere", wrapperspb.String("hello")); err == nil {
		t.Fatal("no error for an invalid address")
	}
	for _, a := range addresses {
		if err := sender.Send(a, wrapperspb.String("hello")); err != nil {
			t.Fatal(err)
		}
	}
	for range 2 {
		if n := <-got; n == 0 {
			t.Fatal("received an empty message")
		}
	}
	if n := sender.Failed(); n != 0 {
		t.Fatalf("%d sends failed", n)
	}
}
