package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/standin/rawserver"
)

// Guards against a reset that arrives as an orderly close since the write to the server has
// consumed the socket's error: a sound reader would take part of an answer for the whole.
func TestResetDuringAnUploadIsPassedOn(t *testing.T) {
	const tries, uploadBytes = 40, 5 << 20
	server := rawserver.Listen(t, func(c *net.TCPConn) {
		defer func() { _ = c.Close() }()
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 512)); err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(20 * time.Millisecond) // the whole upload is under way
		_ = c.SetLinger(0)
	})
	p, err := New("127.0.0.1:0", server)
	if err != nil {
		t.Fatal(err)
	}
	orderly := 0
	for range tries {
		if endsInOrder(t, p.Address(), uploadBytes) {
			orderly++
		}
	}
	if orderly > 0 {
		t.Errorf("%d of %d resets arrived as an orderly close", orderly, tries)
	}
}

// endsInOrder sends a request with a body of size bytes and reports whether neither the write
// nor the read of the answer failed.
func endsInOrder(t *testing.T, address string, size int) bool {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close() // the exchange is over
	sent := make(chan error, 1)
	go func() {
		r, err := http.NewRequest(http.MethodPost, "http://"+address+"/", bytes.NewReader(make([]byte, size)))
		if err == nil {
			err = r.Write(c)
		}
		sent <- err
	}()
	_, readErr := io.ReadAll(c)
	_ = c.Close() // a write that is blocked ends
	return <-sent == nil && readErr == nil
}
