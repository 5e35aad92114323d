package enginehttp

import (
	"context"
	"net/http"
	"strings"
	"sync"
	"testing"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/standin/endless"
)

// Guards against an entry whose memory does not suffice for the answers that it reads at
// once, if engines send bodies without end. The streams and refusals of engines are
// bounded by their own limits.
func TestAnswersWithoutEndAreBoundedTogether(t *testing.T) {
	const (
		requests = 40
		readSize = 64 << 10 // of one read at most
	)
	client := &endless.Client{Header: http.Header{"X-Request-Id": {"r1"}}, Begin: "{", Repeat: strings.Repeat(" ", readSize)}
	e := New(client)
	var wg sync.WaitGroup
	for range requests {
		wg.Go(func() {
			if _, err := e.Do(context.Background(), engine.Target{Name: "e1"}, request("r1", 1, false)); err == nil {
				t.Error("an answer without its end was accepted")
			}
		})
	}
	wg.Wait()
	if peak := client.Peak(); peak > maxReadingBytes+requests*readSize {
		t.Errorf("%d bytes were kept at once", peak)
	}
	if left := e.reading.Load(); left != 0 {
		t.Errorf("%d bytes are still counted", left)
	}
}
