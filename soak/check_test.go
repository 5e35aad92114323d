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

// outcome is the result of one request as its caller sees it.
type outcome struct {
	id, prefix string
	sent       time.Time
	status     int
	// complete reports that the response ended normally; body is what was received.
	complete bool
	body     string
}

// callers send requests through the proxies of the entries and record the
// outcomes.
type callers struct {
	fleet    *fleet
	client   *http.Client
	stop     chan struct{}
	wg       sync.WaitGroup
	lastID   atomic.Int64
	mu       sync.Mutex
	outcomes []outcome
}

const (
	callerCount    = 12
	callerInterval = 40 * time.Millisecond
	callerDeadline = 3 * time.Second
	// callerTimeout is the time after which a caller abandons a request.
	callerTimeout = 6 * time.Second
	soakKey       = "key-1"
)

func startCallers(f *fleet) *callers {
	c := &callers{fleet: f, stop: make(chan struct{}), client: &http.Client{
		Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 4},
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
		case <-time.After(callerInterval):
		}
		o := c.send(c.fleet.entryProxies[(worker+i)%entryVMs].Address(), prefixes[i%len(prefixes)], soakKey)
		c.mu.Lock()
		c.outcomes = append(c.outcomes, o)
		c.mu.Unlock()
	}
}

// send sends one request with a new identifier.
func (c *callers) send(address, prefix, key string) outcome {
	o := outcome{id: fmt.Sprint("r", c.lastID.Add(1)), prefix: prefix, sent: time.Now()}
	r, err := standin.NewRequest(address, prefix, o.id, key, callerDeadline)
	if err != nil {
		return o
	}
	// Without GetBody, net/http cannot replay the body, so it does not retry the
	// request on its own.
	r.GetBody = nil
	resp, err := c.client.Do(r)
	if err != nil {
		return o
	}
	defer func() { _ = resp.Body.Close() }()
	o.status = resp.StatusCode
	data, err := io.ReadAll(resp.Body)
	o.body, o.complete = string(data), err == nil
	return o
}

func (c *callers) finish() []outcome {
	close(c.stop)
	c.wg.Wait()
	return c.outcomes
}

// findViolation compares an outcome with the runs that endpoints recorded. It
// returns a description of the violated guarantee, or "" if there is none.
func findViolation(f *standin.Fleet, o outcome) string {
	runs := f.Runs(o.id)
	for _, r := range runs {
		if r.Customer != "customer" {
			return fmt.Sprintf("ran for customer %q", r.Customer)
		}
		if r.KeyForwarded {
			return "an endpoint received the caller's key"
		}
	}
	repeatable := o.prefix == standin.PrefixIdempotent || o.prefix == standin.PrefixResumable
	if !repeatable && len(runs) > 1 {
		return fmt.Sprintf("ran %d times", len(runs))
	}
	if !repeatable && len(runs) > 0 && (o.status == http.StatusServiceUnavailable || o.status == http.StatusTooManyRequests) {
		return fmt.Sprintf("status %d means that the request has not run, but it has", o.status)
	}
	if o.status != http.StatusOK {
		return ""
	}
	want := standin.Body(o.id)
	if o.prefix == standin.PrefixStream || o.prefix == standin.PrefixResumable {
		want = standin.Stream(o.id)
	}
	if o.complete && o.body != want {
		return fmt.Sprintf("complete response of %d bytes differs from that of its endpoint: %q", len(o.body), o.body)
	}
	if !o.complete && !strings.HasPrefix(want, o.body) {
		return fmt.Sprintf("partial response is not a prefix of that of its endpoint: %q", o.body)
	}
	return ""
}

// operator puts catalogs with increasing versions and reads them back.
type operator struct {
	fleet      *fleet
	client     standin.Operator
	stop       chan struct{}
	wg         sync.WaitGroup
	mu         sync.Mutex
	acked      uint64
	violations []string
}

const operatorInterval = 250 * time.Millisecond

func startOperator(f *fleet, first uint64) *operator {
	o := &operator{fleet: f, acked: first, stop: make(chan struct{}), client: standin.Operator{HTTP: &http.Client{Timeout: time.Second}}}
	o.wg.Go(func() { o.run(first) })
	return o
}

func (o *operator) run(version uint64) {
	for i := 0; ; i++ {
		select {
		case <-o.stop:
			return
		case <-time.After(operatorInterval):
		}
		version++
		if status, err := o.client.Put(o.fleet.control[i%controlVMs].settings.IP, standin.Catalog(version, soakKey)); err == nil && status == http.StatusOK {
			o.mu.Lock()
			o.acked = version
			o.mu.Unlock()
		} else if err == nil && status < http.StatusInternalServerError {
			o.addViolation("a valid catalog was refused with status %d", status)
		}
		o.checkVersion(o.fleet.control[(i+1)%controlVMs])
	}
}

// checkVersion checks that a control VM does not return a catalog older than the
// last one acknowledged before the read.
func (o *operator) checkVersion(p *process) {
	o.mu.Lock()
	acked := o.acked
	o.mu.Unlock()
	status, version, err := o.client.Get(p.settings.IP)
	if err == nil && status == http.StatusOK && version < acked {
		o.addViolation("%s returned catalog version %d, but version %d was acknowledged before", p.settings.VM, version, acked)
	}
}

func (o *operator) addViolation(format string, args ...any) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

func (o *operator) finish() (acked uint64, violations []string) {
	close(o.stop)
	o.wg.Wait()
	return o.acked, o.violations
}
