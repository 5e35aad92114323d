package main

import (
	"bufio"
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// Streams of the callers.
const (
	// streamDeadline is what callers wait for a stream in all, and the timeout of the
	// route.
	streamDeadline = 16 * time.Second
	// longStream is the number of events of a stream that lasts about 14 s.
	longStream = 540
	// shortStream is the number of events of a stream that lasts about 0.3 s.
	shortStream = 12
	// minTakenUp is the number of streams from which the rule counts.
	minTakenUp = 12
)

// attempt is one request for a stream and what came of it.
type attempt struct {
	id       string
	status   int
	code     string // of a refusal
	first    int    // first and last event, zero if there was none
	last     int
	versions []string
	complete bool
	err      error
}

// nextID numbers the requests of all callers.
var nextID atomic.Int64

func newID() string { return fmt.Sprintf("a%d-40", nextID.Add(1)) }

// ask sends one request for the events of a stream behind event last. Began is the
// identifier of the attempt that brought its first event; empty for a new stream. It
// returns when the answer ends. A requester that takes up a stream opens a new connection.
func ask(p *vm, name, began string, last int, left time.Duration, started func()) attempt {
	a := attempt{id: newID()}
	r, err := standin.NewStreamRequest(fmt.Sprintf("%s:%d", p.settings.IP, standin.CallerPort), name, a.id, apiKey, standin.Model, left)
	if err != nil {
		a.err = err
		return a
	}
	if began != "" {
		standin.TakeUp(r, began, last)
	}
	client := http.Client{Timeout: left, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.code = resp.StatusCode, resp.Header.Get("Radishloom-Result")
	if resp.StatusCode == http.StatusOK {
		a.readEvents(resp.Body, started)
	}
	return a
}

// readEvents reads the events of a stream until it ends.
func (a *attempt) readEvents(body io.Reader, started func()) {
	in := bufio.NewReader(body)
	for {
		line, err := in.ReadString('\n')
		if id, ok := strings.CutPrefix(strings.TrimSpace(line), "id: "); ok && err == nil {
			n, _ := strconv.Atoi(id) // the stand-in writes numbers
			if a.first == 0 {
				a.first = n
				started()
			}
			a.last = n
		}
		if fields := strings.Fields(line); len(fields) == 4 && (len(a.versions) == 0 || a.versions[len(a.versions)-1] != fields[3]) {
			a.versions = append(a.versions, fields[3])
		}
		if errors.Is(err, io.EOF) {
			a.complete = true
			return
		}
		if err != nil {
			a.err = err
			return
		}
	}
}

// tally counts the streams of a case.
type tally struct {
	mu sync.Mutex
	// takenUp are streams that their callers took up at another entry after the connection
	// broke; wentOn those of them that brought a further event.
	takenUp, wentOn int
	// asked are new streams while others were taken up; begun those that brought an event.
	asked, begun int
}

// takeUpVerdict is the verdict on how many streams go on that are taken up.
func (t *tally) takeUpVerdict() outcome {
	t.mu.Lock()
	defer t.mu.Unlock()
	why := fmt.Sprintf("of %d streams that were taken up %d went on; of %d new streams %d began", t.takenUp, t.wentOn, t.asked, t.begun)
	if t.takenUp == 0 || t.asked == 0 {
		return outcome{why: why}
	}
	went, began := float64(t.wentOn)/float64(t.takenUp), float64(t.begun)/float64(t.asked)
	return outcome{broken: t.takenUp >= minTakenUp && went < began/2, why: why}
}

// runsOf names the endpoints that ran a request, with their software versions.
func runsOf(f *fleet, id string) string {
	var out []string
	for _, r := range f.endpoints.Runs(id) {
		out = append(out, fmt.Sprintf("%s of version %s", r.Endpoint, r.Version))
	}
	return "run by " + cmp.Or(strings.Join(out, ", "), "none")
}

// longCaller requests a long stream at an entry and takes it up at the others once the
// connection breaks, as often as retries says. Begun is called with the first event.
func longCaller(f *fleet, t *tally, at *vm, others []*vm, number int64, retries int, begun func()) {
	rec := f.record
	name := standin.StreamName(number, longStream)
	start := time.Now()
	a := ask(at, name, "", 0, streamDeadline, begun)
	rec.add("stream %s at %s: request %s, status %d%s, events %d to %d of %v, complete %v, error %v; %s", name, at.settings.VM, a.id, a.status, codeText(a.code), a.first, a.last, a.versions, a.complete, a.err, runsOf(f, a.id))
	if a.first == 0 || a.complete {
		return
	}
	t.mu.Lock()
	t.takenUp++
	t.mu.Unlock()
	began, last := a.id, a.last
	for n := range retries {
		left := streamDeadline - time.Since(start)
		if left < 500*time.Millisecond {
			break
		}
		p := others[(int(number)+n)%len(others)]
		b := ask(p, name, began, last, left, func() {})
		rec.add("stream %s taken up at %s behind event %d of %s: request %s, status %d%s, events %d to %d of %v, complete %v, error %v; %s", name, p.settings.VM, last, began, b.id, b.status, codeText(b.code), b.first, b.last, b.versions, b.complete, b.err, runsOf(f, b.id))
		if b.first > 0 {
			t.mu.Lock()
			t.wentOn++
			t.mu.Unlock()
			return
		}
		time.Sleep(50 * time.Millisecond) // the refusals state a Retry-After of 20 ms
	}
}

func codeText(code string) string {
	if code == "" {
		return ""
	}
	return " (result code " + code + ")"
}

// newStreams requests short new streams at the entries in turn until stop is closed. It
// counts those that are sent once counting is set.
func newStreams(f *fleet, t *tally, entries []*vm, first int64, counting *atomic.Bool, stop <-chan struct{}) {
	var calls sync.WaitGroup
	tick := time.NewTicker(200 * time.Millisecond)
	defer tick.Stop()
	for n := first; ; n++ {
		select {
		case <-stop:
			calls.Wait()
			return
		case <-tick.C:
		}
		counted := counting.Load()
		calls.Go(func() {
			p := entries[int(n)%len(entries)]
			a := ask(p, standin.StreamName(n, shortStream), "", 0, streamDeadline, func() {})
			f.record.add("new stream %d at %s: request %s, status %d%s, events %d to %d, complete %v; %s", n, p.settings.VM, a.id, a.status, codeText(a.code), a.first, a.last, a.complete, runsOf(f, a.id))
			if !counted {
				return
			}
			t.mu.Lock()
			defer t.mu.Unlock()
			t.asked++
			if a.first > 0 {
				t.begun++
			}
		})
	}
}
