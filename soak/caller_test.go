package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
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
	// number tells requests with the same identifier apart. Each of them is a request of
	// its own for the guarantees, so two of them may run once each.
	number int
	sent   time.Time
	status int
	// answerID is the identifier in the response, which may be missing.
	answerID string
	// complete reports that the response ended normally; body is what was received.
	complete bool
	body     string
}

// key returns the key of the request among the runs of the endpoints.
func (o *outcome) key() string { return standin.RunKey(o.id, o.number) }

// callers send requests to the entries and record the outcomes.
type callers struct {
	fleet    *fleet
	stop     chan struct{}
	wg       sync.WaitGroup
	lastID   atomic.Int64
	mu       sync.Mutex
	outcomes []outcome
}

const (
	callerCount = 40
	// callerInterval is the time between two requests of a caller.
	callerInterval = 20 * time.Millisecond
	callerDeadline = 3 * time.Second
	// callerTimeout is the time after which a caller abandons a request.
	callerTimeout = 6 * time.Second
	soakKey       = "key-1"
	// maxBody is larger than any body of an endpoint that is sound.
	maxBody = 1 << 20
)

var errBodyTooLarge = errors.New("the body of the response has no end")

func startCallers(f *fleet, seed int) *callers {
	c := &callers{fleet: f, stop: make(chan struct{})}
	for i := range callerCount {
		c.wg.Go(func() {
			c.run(i, rand.New(rand.NewPCG(uint64(seed), uint64(100+i))), rand.New(rand.NewPCG(uint64(seed), uint64(1000+i))))
		})
	}
	return c
}

// run sends requests on a connection that is kept until it ends, and then on one to the
// next entry. Half of the callers connect to the entry itself, so that they see what it
// sends while it stops.
func (c *callers) run(worker int, r, repeats *rand.Rand) {
	prefixes := []string{standin.PrefixNonIdempotent, standin.PrefixIdempotent, standin.PrefixStream, standin.PrefixNonIdempotent, standin.PrefixResumable}
	s := &session{}
	defer s.close()
	for i := worker; ; i++ {
		select {
		case <-c.stop:
			return
		case <-time.After(time.Duration(r.Int64N(int64(2 * callerInterval)))):
		}
		if !s.open() {
			s.address = c.address(worker, worker+i)
		}
		model, of := c.model(i, r), drawShape(r)
		o := c.send(s, prefixes[i%len(prefixes)], model, of)
		c.record(o)
		c.repeat(o, s, worker, model, of, repeats)
	}
}

// address returns the address at which a worker connects to an entry.
func (c *callers) address(worker, entry int) string {
	entry %= len(c.fleet.entries)
	if worker%2 == 0 {
		return c.fleet.entries[entry].callerAddress()
	}
	return c.fleet.entryProxies[entry].Address()
}

func (c *callers) record(o outcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outcomes = append(c.outcomes, o)
}

// model returns the model of a request. Demand moves from one to the next, so that
// engines have to load and unload them.
func (c *callers) model(i int, r *rand.Rand) string {
	const requestsPerModel = 100
	all := standin.Models()
	if r.IntN(3) > 0 {
		return all[i/requestsPerModel%len(all)]
	}
	return all[r.IntN(len(all))]
}

// shape is what requests of one kind differ in. Zero sizes in bytes mean small ones.
type shape struct {
	bodySize, answerSize int
	deadline             time.Duration
}

// drawShape returns the shape of a caller's next request. Some requests have large
// bodies, some large answers, and some a deadline that may end in an endpoint's queue.
func drawShape(r *rand.Rand) shape {
	out := shape{deadline: callerDeadline}
	switch r.IntN(40) {
	case 0:
		out.bodySize = 100<<10 + r.IntN(2<<20)
	case 1, 2:
		out.answerSize = r.IntN(600 << 10)
	case 3, 4, 5:
		out.deadline = time.Duration(10+r.IntN(150)) * time.Millisecond
	}
	return out
}

// send sends one request with a new identifier.
func (c *callers) send(s *session, prefix, model string, of shape) outcome {
	return c.sendAgain(s, outcome{id: standin.RequestID(c.lastID.Add(1), of.bodySize, of.answerSize), prefix: prefix}, model, of.deadline)
}

// sendAgain sends one request with the identifier, prefix and number given.
func (c *callers) sendAgain(s *session, o outcome, model string, deadline time.Duration) outcome {
	o = outcome{id: o.id, prefix: o.prefix, number: o.number, sent: time.Now()}
	request, err := standin.NewRequest(s.address, o.prefix, o.id, soakKey, model, deadline)
	if err != nil {
		return o
	}
	standin.SetNumber(request, o.number)
	s.exchange(request, &o)
	return o
}

func (c *callers) finish() []outcome {
	close(c.stop)
	c.wg.Wait()
	return c.outcomes
}

// session is a caller's connection. It reads whatever arrives as the response to what it
// has just sent: unlike net/http it knows of no unasked response.
type session struct {
	address string
	conn    net.Conn
	reader  *bufio.Reader
}

func (s *session) open() bool { return s.conn != nil }

func (s *session) close() {
	if s.conn != nil {
		_ = s.conn.Close() // the connection is not used again
	}
	s.conn = nil
}

// exchange sends a request and records its response. The connection is kept after a
// complete response that does not end it.
func (s *session) exchange(r *http.Request, o *outcome) {
	if s.conn == nil {
		conn, err := net.DialTimeout("tcp", s.address, callerTimeout)
		if err != nil {
			return
		}
		s.conn, s.reader = conn, bufio.NewReader(conn)
	}
	if s.conn.SetDeadline(time.Now().Add(callerTimeout)) != nil {
		s.close()
		return
	}
	// A response may have arrived although the request could not be sent whole.
	sendErr := r.Write(s.conn)
	resp, err := http.ReadResponse(s.reader, r)
	if err != nil {
		s.close()
		return
	}
	o.status, o.answerID = resp.StatusCode, standin.ResponseID(resp.Header)
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxBody))
	if err == nil && len(data) == maxBody {
		err = errBodyTooLarge // the rest of the body is not read
	}
	o.body, o.complete = string(data), err == nil
	if err = errors.Join(err, sendErr); err != nil || resp.Close {
		s.close()
	}
}

// promisesNotRun reports whether a status means that a request has not run and never
// will.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// findViolation compares an outcome with the runs that endpoints recorded. It
// returns a description of the violated guarantee, or "" if there is none.
func findViolation(f *standin.Fleet, o outcome) string {
	runs := f.Runs(o.key())
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
		return fmt.Sprintf("ran %d times: %+v", len(runs), runs)
	}
	if !repeatable && len(runs) > 0 && promisesNotRun(o.status) {
		return fmt.Sprintf("status %d means that the request has not run, but it has: %+v", o.status, runs)
	}
	if o.answerID != "" && o.answerID != o.id {
		return fmt.Sprintf("the response is that to request %s", o.answerID)
	}
	if o.status != http.StatusOK {
		return ""
	}
	want := standin.Body(o.id)
	if o.prefix == standin.PrefixStream || o.prefix == standin.PrefixResumable {
		want = standin.Stream(o.id)
	}
	if o.complete && o.body != want {
		return fmt.Sprintf("complete response of %d bytes differs from that of its endpoint, of %d bytes: %q", len(o.body), len(want), excerpt(o.body))
	}
	if !o.complete && !f.Endless(o.key()) && !strings.HasPrefix(want, o.body) {
		return fmt.Sprintf("partial response is not a prefix of that of its endpoint: %q", excerpt(o.body))
	}
	return ""
}

// excerpt returns the beginning of a body for a message.
func excerpt(body string) string {
	const length = 400
	return body[:min(len(body), length)]
}
