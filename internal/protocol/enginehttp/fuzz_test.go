package enginehttp

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/proptest"
	"github.com/radishloom/radishloom/internal/resultcode"
	standin "github.com/radishloom/radishloom/internal/standin/engine"
)

// outcome is the result of one request.
type outcome struct {
	req engine.Request
	err error
}

// machine is the state machine of the property: one client and one stand-in
// engine.
type machine struct {
	*fixture
	count    int
	outcomes []outcome
	// lose, if set, is called before a broken stream is resumed.
	lose func()
}

func drawFaults(t *rapid.T) standin.Faults {
	at := rapid.IntRange(1, 5).Draw(t, "at")
	f := rapid.SampledFrom([]standin.Faults{
		{},
		{Refuse: true},
		{RefuseUnnamed: true},
		{Ignore: true},
		{LoseAnswer: true},
		{Late: 2 * fuzzIdleTimeout},
		{WrongID: true},
		{NoID: true},
		{SilentAt: at},
		{CutAt: at},
		{CutAt: at, Repeat: true},
		{ErrorAt: at},
		{EndAt: at},
		{CutBody: 40 * at},
		{NoLength: true},
		{Extra: true},
		{NoResume: true, CutAt: at},
	}).Draw(t, "fault")
	f.Times = rapid.IntRange(1, 3).Draw(t, "times")
	return f
}

// fuzzIdleTimeout is short because every request without a response waits for it.
// On a busy machine it can only turn responses into errors, which are legal
// outcomes.
const fuzzIdleTimeout = 80 * time.Millisecond

// batch sends up to four requests concurrently.
func (m *machine) batch(t *rapid.T) {
	n := rapid.IntRange(1, 4).Draw(t, "requests")
	var wait sync.WaitGroup
	got := make([]outcome, n)
	for i := range n {
		m.count++
		req := request(fmt.Sprintf("r%d", m.count), 5, rapid.Bool().Draw(t, "stream"))
		req.IdleTimeout = fuzzIdleTimeout
		req.FreshConnection = rapid.Bool().Draw(t, "fresh")
		stopAt := rapid.IntRange(0, 12).Draw(t, "stop at")
		wait.Go(func() { got[i] = outcome{req, m.attempt(req, stopAt)} })
	}
	wait.Wait()
	m.outcomes = append(m.outcomes, got...)
	m.verify(t)
}

// attempt performs one request. It resumes a broken stream up to two times and
// closes the stream after stopAt events.
func (m *machine) attempt(req engine.Request, stopAt int) error {
	if !req.Stream {
		return m.run(req)
	}
	text, events := "", 0
	for try := 0; ; try++ {
		req.ResumeFrom = events
		s, err := m.engine.Open(context.Background(), m.to, req)
		if err != nil {
			return err
		}
		for err == nil {
			var ev engine.Event
			ev, err = s.Next(context.Background())
			if err == nil && ev.Final {
				_ = s.Close()
				return checkText(text, wantText(req.Body, 0, 5))
			}
			if err == nil {
				text += contentOf(ev.Data)
				events++
			}
			if events == stopAt {
				_ = s.Close()
				return resultcode.New(resultcode.CallerGone, "closed by the test")
			}
		}
		_ = s.Close()
		if events == 0 || try == 2 {
			return err
		}
		if m.lose != nil {
			m.lose()
		}
	}
}

// lost sends requests whose streams break, and crashes the engine before it resumes the
// first of them: the attempt to resume can be said not to have run, the request cannot.
func (m *machine) lost(t *rapid.T) {
	m.standin.SetFaults(standin.Faults{CutAt: rapid.IntRange(2, 5).Draw(t, "at")})
	m.lose = sync.OnceFunc(m.standin.Crash)
	m.batch(t)
	m.lose = nil
}

// verify compares every outcome so far with the runs that the engine counted.
func (m *machine) verify(t *rapid.T) {
	for _, o := range m.outcomes {
		runs, received := m.standin.Runs(o.req.ID), m.standin.Received(o.req.ID)
		if runs > 1 || received > 1 {
			t.Fatalf("%s was received %d times and ran %d times", o.req.ID, received, runs)
		}
		if o.err == nil {
			if runs != 1 {
				t.Fatalf("%s was answered and ran %d times", o.req.ID, runs)
			}
			continue
		}
		code := resultcode.Of(o.err)
		state := code.Info().Run
		switch {
		case code == resultcode.Internal:
			t.Fatalf("%s: error without a result code, or the response to another request: %v", o.req.ID, o.err)
		case state == resultcode.NotRun && runs > 0:
			t.Fatalf("%s ran, but the code says not run: %v", o.req.ID, o.err)
		case state == resultcode.Ran && runs == 0:
			t.Fatalf("%s did not run, but the code says that it ran: %v", o.req.ID, o.err)
		case code == resultcode.EndpointUnreachable && received > 0:
			t.Fatalf("%s arrived, but the code says that nothing was sent: %v", o.req.ID, o.err)
		}
	}
}

// property returns the property with the given faults in the client.
func property(test *testing.T, defects faults) func(*rapid.T) {
	return func(t *rapid.T) {
		m := &machine{fixture: start(test, standin.Config{RestartAfter: 20 * time.Millisecond})}
		defer m.standin.Close()
		m.engine.faults = defects
		t.Repeat(map[string]func(*rapid.T){
			"fault": func(t *rapid.T) { m.standin.SetFaults(drawFaults(t)); m.batch(t) },
			"cut": func(t *rapid.T) {
				at := rapid.IntRange(2, 5).Draw(t, "at")
				m.standin.SetFaults(rapid.SampledFrom([]standin.Faults{{EndAt: at}, {CutAt: at, Repeat: true}}).Draw(t, "cut"))
				m.batch(t)
			},
			"sound":   func(t *rapid.T) { m.standin.SetFaults(standin.Faults{}); m.batch(t) },
			"silence": func(t *rapid.T) { m.standin.SilenceOpenConnections(); m.batch(t) },
			"crash":   func(t *rapid.T) { m.standin.Crash(); m.batch(t) },
			"lost":    m.lost,
			"dying": func(t *rapid.T) {
				m.standin.SetFaults(standin.Faults{CutAt: 3, Times: 1})
				pause := rapid.IntRange(0, 3).Draw(t, "ms")
				time.AfterFunc(time.Duration(pause)*time.Millisecond, m.standin.Crash)
				m.batch(t)
			},
			"crash mark": func(t *rapid.T) {
				m.standin.SetFaults(standin.Faults{CrashMark: fmt.Sprintf("r%d", m.count+2)})
				m.batch(t)
			},
		})
		m.verify(t)
	}
}

// Guards promises P7 and P8 between this VM and an engine: each request gets the
// complete response to it, or an error whose run state agrees with what the engine
// ran; and no request is sent twice.
func TestFuzzAnswers(t *testing.T) {
	proptest.Check(t, 300, 11, property(t, faults{}), proptest.Steps(8))
}

// Shows that the fuzz test detects each fault.
func TestFuzzFindsDefects(t *testing.T) {
	for name, defects := range map[string]faults{
		"skipIdentity":    {skipIdentity: true},
		"skipMarker":      {skipMarker: true},
		"skipSequence":    {skipSequence: true},
		"trustAnyRefusal": {trustAnyRefusal: true},
		"resumeNotRun":    {resumeNotRun: true},
	} {
		t.Run(name, func(t *testing.T) {
			proptest.MustFail(t, 300, 11, property(t, defects), proptest.Steps(8))
		})
	}
}
