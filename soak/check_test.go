package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// outcome is what a caller got for one request.
type outcome struct {
	id, prefix string
	sent       time.Time
	status     int
	// whole says that the answer ended as it should; body is what came.
	whole bool
	body  string
}

// callers send requests through the proxies of the entries and keep what they
// get.
type callers struct {
	fleet    *fleet
	client   *http.Client
	stop     chan struct{}
	wg       sync.WaitGroup
	next     atomic.Int64
	mu       sync.Mutex
	outcomes []outcome
}

const (
	callerCount = 12
	callerPause = 40 * time.Millisecond
	callerWait  = 3 * time.Second
	// callerLimit is when a caller gives up.
	callerLimit = 6 * time.Second
	soakKey     = "key-1"
)

func startCallers(f *fleet) *callers {
	c := &callers{fleet: f, stop: make(chan struct{}), client: &http.Client{
		Timeout: callerLimit, Transport: &http.Transport{MaxIdleConnsPerHost: 4},
	}}
	for i := range callerCount {
		c.wg.Go(func() { c.run(i) })
	}
	return c
}

func (c *callers) run(worker int) {
	prefixes := []string{standin.PrefixNonIdempotent, standin.PrefixIdempotent, standin.PrefixStream, standin.PrefixResumable}
	for i := 0; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(callerPause):
		}
		o := c.send(c.fleet.toEntries[(worker+i)%entryVMs].Address(), prefixes[i%len(prefixes)], soakKey)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
	}
}

// send makes one request; its identifier is new.
func (c *callers) send(address, prefix, key string) outcome {
	o := outcome{id: fmt.Sprint("r", c.next.Add(1)), prefix: prefix, sent: time.Now()}
	r, err := standin.NewRequest(address, prefix, o.id, key, callerWait)
	if err != nil {
		return o
	}
	// net/http repeats a request on its own unless its body cannot be read again.
	r.GetBody = nil
	resp, err := c.client.Do(r)
	if err != nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	o.body, o.whole = string(data), err == nil
	return o
}

func (c *callers) finish() []outcome {
	close(c.stop)
	c.wg.Wait()
	return c.outcomes
}

// check judges one outcome by what endpoints saw and returns a broken promise,
// or "".
func check(f *standin.Fleet, o outcome) string {
	runs := f.Runs(o.id)
	for _, r := range runs {
		if r.Customer != "customer" {
			return fmt.Sprintf("ran for customer %q", r.Customer)
		}
		if r.KeyForwarded {
			return "an endpoint saw the caller's key"
		}
	}
	repeatable := o.prefix == standin.PrefixIdempotent || o.prefix == standin.PrefixResumable
	if !repeatable && len(runs) > 1 {
		return fmt.Sprintf("ran %d times", len(runs))
	}
	if !repeatable && len(runs) > 0 && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) {
		return fmt.Sprintf("status %d says that it has not run", o.status)
	}
	if o.status != http.StatusOK {
		return ""
	}
	want := standin.Body(o.id)
	if o.prefix == standin.PrefixStream || o.prefix == standin.PrefixResumable {
		want = standin.Stream(o.id)
	}
	if o.whole && o.body != want {
		return fmt.Sprintf("a whole answer of %d bytes differs from that of its endpoint: %q", len(o.body), o.body)
	}
	if !o.whole && !strings.HasPrefix(want, o.body) {
		return fmt.Sprintf("a part of an answer is not that of its endpoint: %q", o.body)
	}
	return ""
}

// operator puts catalogs of growing versions and reads them back.
type operator struct {
	fleet  *fleet
	calls  standin.Operator
	stop   chan struct{}
	wg     sync.WaitGroup
	mu     sync.Mutex
	acked  uint64
	broken []string
}

const operatorPause = 250 * time.Millisecond

func startOperator(f *fleet, first uint64) *operator {
	o := &operator{fleet: f, acked: first, stop: make(chan struct{}), calls: standin.Operator{HTTP: &http.Client{Timeout: time.Second}}}
	o.wg.Go(func() { o.run(first) })
	return o
}

func (o *operator) run(version uint64) {
	for i := 0; ; i++ {
		select {
		case <-o.stop:
			return
		case <-time.After(operatorPause):
		}
		version++
		if status, err := o.calls.Put(o.fleet.control[i%controlVMs].settings.IP, standin.Catalog(version, soakKey)); err == nil && status == http.StatusOK {
			o.mu.Lock()
			o.acked = version
			o.mu.Unlock()
		} else if err == nil && status < http.StatusInternalServerError {
			o.report("a valid catalog was refused with %d", status)
		}
		o.read(o.fleet.control[(i+1)%controlVMs])
	}
}

// read compares what a control VM shows with what was acknowledged before.
func (o *operator) read(p *process) {
	o.mu.Lock()
	acked := o.acked
	o.mu.Unlock()
	status, version, err := o.calls.Get(p.settings.IP)
	if err == nil && status == http.StatusOK && version < acked {
		o.report("%s shows version %d, %d was acknowledged before", p.settings.VM, version, acked)
	}
}

func (o *operator) report(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.broken = append(o.broken, fmt.Sprintf(format, args...))
}

func (o *operator) finish() (acked uint64, broken []string) {
	close(o.stop)
	o.wg.Wait()
	return o.acked, o.broken
}
