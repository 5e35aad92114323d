package soak

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/resultcode"
	"github.com/radishloom/radishloom/platform/standin"
)

const (
	streamCallerCount = 24
	// Streams take 1 s to 3.5 s, so that faults break them in the middle.
	fewestEvents, mostEvents = 40, 140
	streamTimeout            = 10 * time.Second
	// streamPause is the longest pause before a caller takes a stream up.
	streamPause = 120 * time.Millisecond
)

// chain is one stream as its caller has it, after one or more tries.
type chain struct {
	name, model string
	// began is the identifier of the try that brought the first event.
	began string
	// body holds the events that are complete; last is the number of the last one.
	body string
	last int
	// tries are the identifiers of the requests.
	tries []string
	// wentOn is set once a try that took the stream up has brought more of it.
	wentOn bool
}

// tally counts what became of streams and of the tries that took them up.
type tally struct {
	streams, complete int
	// resumed is how many answers with events have more than one run: an entry asked
	// another endpoint for the rest, or repeated the request before the first event.
	resumed int
	// continued is how many streams were taken up and went on.
	continued int
	// takeUps is how many tries took a stream up and got a response, wentOn how many of
	// these brought more of it; refused counts those that were refused, by result code. With
	// code 4013 the caller begins a new stream.
	takeUps, wentOn int
	refused         map[resultcode.Code]int
	// newRefused counts the other tries that were refused.
	newRefused map[resultcode.Code]int
	// joined is how many streams hold events of two versions; changedInPlace is how many
	// further ones do, where an endpoint changed its version under its identifier.
	joined, changedInPlace int
}

// streamCallers send requests for streams that can be resumed and take them up at any
// entry.
type streamCallers struct {
	callers *callers
	// deadline is the time that a request states.
	deadline time.Duration

	mu         sync.Mutex
	tally      tally
	violations []string
}

func newStreamCallers(f *fleet) *streamCallers {
	return &streamCallers{callers: &callers{fleet: f, stop: make(chan struct{})}, deadline: callerDeadline, tally: tally{refused: map[resultcode.Code]int{}, newRefused: map[resultcode.Code]int{}}}
}

func startStreamCallers(f *fleet, seed int) *streamCallers {
	c := newStreamCallers(f)
	for i := range streamCallerCount {
		c.callers.wg.Go(func() { c.run(i, rand.New(rand.NewPCG(uint64(seed), uint64(100+i)))) })
	}
	return c
}

// run requests one stream after the other until the callers are stopped.
func (c *streamCallers) run(worker int, r *rand.Rand) {
	s := c.begin(r)
	for {
		select {
		case <-c.callers.stop:
			return
		case <-time.After(time.Duration(r.Int64N(int64(streamPause)))):
		}
		o := c.try(s, c.callers.address(worker, r.IntN(len(c.callers.fleet.entries))))
		c.callers.record(o)
		if c.judge(s, o) {
			s = c.begin(r)
		}
	}
}

func (c *streamCallers) begin(r *rand.Rand) *chain {
	model := standin.Model
	if r.IntN(4) == 0 {
		model = standin.Models()[1]
	}
	return &chain{name: standin.StreamName(c.callers.lastID.Add(1), fewestEvents+r.IntN(mostEvents-fewestEvents)), model: model}
}

// try begins a stream, or takes it up after its last event.
func (c *streamCallers) try(s *chain, address string) outcome {
	o := outcome{id: standin.RequestID(c.callers.lastID.Add(1), 0, 0), prefix: standin.PrefixResumable, sent: time.Now()}
	s.tries = append(s.tries, o.id)
	request, err := standin.NewStreamRequest(address, s.name, o.id, soakKey, s.model, c.deadline)
	if err != nil {
		return o
	}
	if s.last > 0 {
		standin.TakeUp(request, s.began, s.last)
	}
	to := &session{address: address}
	defer to.close()
	to.exchange(request, &o, c.deadline)
	return o
}

// judge adds the response of a try to its stream and counts it. It returns true if the
// stream has ended.
func (c *streamCallers) judge(s *chain, o outcome) (ended bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	taken, had := s.last > 0, s.last
	violation := ""
	if o.status == http.StatusOK {
		violation = s.add(o)
	}
	c.count(s, o, taken, had)
	if violation == "" {
		return o.code == resultcode.StreamNotResumable || (o.status == http.StatusOK && o.complete)
	}
	text := fmt.Sprintf("stream %s, tries %v, at %s: %s; runs %+v", s.name, s.tries, o.sent.Format(time.StampMilli), violation, c.runs(s))
	switch joined := len(standin.VersionsIn(s.body)) > 1; {
	case joined && c.changedInPlace(s):
		c.tally.changedInPlace++
		c.callers.fleet.t.Logf("version changed in place: %s", text)
	case joined:
		c.tally.joined++
		fallthrough
	default:
		c.violations = append(c.violations, text)
	}
	return true
}

// count counts a try that took up a stream, or not, after the event had.
func (c *streamCallers) count(s *chain, o outcome, taken bool, had int) {
	n := &c.tally
	whole := o.status == http.StatusOK && o.complete
	if len(s.tries) == 1 {
		n.streams++
	}
	if whole {
		n.complete++
	}
	if s.last > had && len(c.callers.fleet.endpoints.Runs(o.id)) > 1 {
		n.resumed++
	}
	if !taken {
		if o.status != 0 && o.status != http.StatusOK {
			n.newRefused[o.code]++
		}
		return
	}
	if o.status == 0 {
		return
	}
	n.takeUps++
	if o.status != http.StatusOK {
		n.refused[o.code]++
	}
	if s.last == had && !whole {
		return
	}
	n.wentOn++
	if !s.wentOn {
		n.continued++
	}
	s.wentOn = true
}

// add adds the complete events of a response and returns the violated guarantee, or "".
func (s *chain) add(o outcome) string {
	text := s.body + o.body
	want := wantedStream(s.name, text)
	s.body = text[:strings.LastIndex(text, "\n\n")+len("\n\n")*min(1, strings.Count(text, "\n\n"))]
	if s.last == 0 && s.body != "" {
		s.began = o.id
	}
	s.last = strings.Count(s.body, "\n\n")
	versions := standin.VersionsIn(s.body)
	switch {
	case len(versions) > 1:
		return fmt.Sprintf("the stream holds events of versions %v", versions)
	case !strings.HasPrefix(want, text):
		return fmt.Sprintf("an event is missing, twice or another one behind event %d: %q", s.last, text[max(0, len(text)-400):])
	case o.complete && text != want:
		return fmt.Sprintf("the stream ends after event %d", s.last)
	}
	return ""
}

// runs returns the runs of all tries.
func (c *streamCallers) runs(s *chain) (out []standin.Run) {
	for _, id := range s.tries {
		out = append(out, c.callers.fleet.endpoints.Runs(id)...)
	}
	return out
}

// changedInPlace reports whether an endpoint that ran a try had changed its version under
// its identifier, and entries may not have known it.
func (c *streamCallers) changedInPlace(s *chain) bool {
	for _, r := range c.runs(s) {
		if r.ChangedInPlace {
			return true
		}
	}
	return false
}

// finish stops the callers and returns the counts, and the violated guarantees.
func (c *streamCallers) finish() (tally, []string) {
	for _, o := range c.callers.finish() {
		if violation := findRunViolation(c.callers.fleet.endpoints, o); violation != "" {
			c.violations = append(c.violations, fmt.Sprintf("request %s at %s: %s", o.id, o.sent.Format(time.StampMilli), violation))
		}
	}
	return c.tally, c.violations
}
