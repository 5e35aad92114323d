package peerrpc

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/internal/standin/rawserver"
)

// Guards against a call between VMs that takes bytes which are no response for an answer.
func TestMalformedResponsesToCallsAreErrors(t *testing.T) {
	body, err := proto.Marshal(&peerv1.LoadResponse{ReadyMs: 7})
	if err != nil {
		t.Fatal(err)
	}
	for _, tt := range []struct {
		name, head string
		sound      bool
	}{
		{"sound", "HTTP/1.1 200 OK", true},
		{"status 000", "HTTP/1.1 000 ", false},
		{"blank in a name", "HTTP/1.1 200 OK\r\nX Other: 1", false},
		{"blank before the colon", "HTTP/1.1 200 OK\r\nX-Other : 1", false},
		{"control byte in a name", "HTTP/1.1 200 OK\r\nX-\x01Other: 1", false},
	} {
		t.Run(tt.name, func(t *testing.T) {
			transport := NewTransport(Options{})
			defer transport.Close()
			address := rawserver.Always(t, fmt.Sprintf("%s\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", tt.head, len(body), body))
			resp, err := transport.Load(t.Context(), address, &peerv1.LoadRequest{Model: "m"})
			if tt.sound && (err != nil || resp.GetReadyMs() != 7) {
				t.Errorf("%v, %v", resp, err)
			}
			if !tt.sound && resultcode.Of(err) != resultcode.NoLeader {
				t.Errorf("%v, %v; want the error of a call that failed", resp, err)
			}
		})
	}
}

// Guards against the beginning of a response that counts as the whole one: a cut message may
// be a message as well.
func TestResponsesWithoutFramingAreErrors(t *testing.T) {
	for name, body := range map[string]string{"empty": "", "first field": "\x0a\x01e"} {
		t.Run(name, func(t *testing.T) {
			transport := NewTransport(Options{})
			defer transport.Close()
			address := rawserver.Always(t, "HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n\r\n"+body)
			resp, err := transport.Load(t.Context(), address, &peerv1.LoadRequest{Model: "m"})
			if resultcode.Of(err) != resultcode.NoLeader {
				t.Errorf("%v, %v; want the error of a call that failed", resp, err)
			}
		})
	}
}
