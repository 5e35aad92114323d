package soak

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// Guards against endpoints that send bytes without end, in heads and bodies, on many
// connections of one entry at once: the entry must stay within its memory and serve the
// requests that sound endpoints answer.
func TestBytesWithoutEndAreBounded(t *testing.T) {
	const (
		seed, callerCount = 3, 100
		length            = 5 * time.Second
	)
	f := newFleet(t, seed, buildDaemon(t), size{control: 3, entries: 1})
	f.putFirstCatalog(standin.RouteTimeout)
	f.waitReady(startTimeout)
	for i, e := range f.servers {
		if i > 0 {
			e.SetFaults(standin.Faults{Endless: 0.9}, uint64(i))
		}
	}
	load := &callers{fleet: f}
	prefixes := []string{standin.PrefixNonIdempotent, standin.PrefixIdempotent, standin.PrefixStream, standin.PrefixResumable}
	var wg sync.WaitGroup
	var mu sync.Mutex
	served := 0
	for i := range callerCount {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(seed, uint64(i)))
			for end := time.Now().Add(length); time.Now().Before(end); {
				s := &session{address: f.entries[0].callerAddress()}
				o := load.send(s, prefixes[r.IntN(len(prefixes))], standin.Model, shape{deadline: callerDeadline})
				s.close()
				mu.Lock()
				if violation := findViolation(f.endpoints, o); violation != "" {
					t.Errorf("request %s to %s: %s", o.id, o.prefix, violation)
				}
				if o.status == http.StatusOK && o.complete {
					served++
				}
				mu.Unlock()
			}
		})
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		f.recordMemory()
	}
	wg.Wait()
	t.Logf("%d requests sent, %d served, %d MB at most", load.lastID.Load(), served, f.peakMemory/1e6)
	f.checkMemory()
	if served == 0 {
		t.Error("no request was served")
	}
	if t.Failed() {
		f.saveLogs(seed)
	}
}
