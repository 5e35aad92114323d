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

// outcome is what one request came to.
type outcome struct {
	req engine.Request
	err error
}

// machine drives one client against one stand-in.
type machine struct {
	*fixture
	count    int
	outcomes []outcome
}

func drawFaults(t *rapid.T) standin.Faults {
	at := rapid.IntRange(1, 5).Draw(t, "at")
	f := rapid.SampledFrom([]standin.Faults{
		{},
		{Refuse: true},
		{RefuseUnnamed: true},
		{Ignore: true},
		{LoseAnswer: true},
		{Late: 2 * fuzzSilence},
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

// fuzzSilence is short, because each silent answer waits for it. A busy machine
// can only turn answers into errors, which are legal outcomes.
const fuzzSilence = 80 * time.Millisecond

// batch sends some requests at once.
func (m *machine) batch(t *rapid.T) {
	n := rapid.IntRange(1, 4).Draw(t, "requests")
	var wait sync.WaitGroup
	got := make([]outcome, n)
	for i := range n {
		m.count++
		req := request(fmt.Sprintf("r%d", m.count), 5, rapid.Bool().Draw(t, "stream"))
		req.IdleTimeout = fuzzSilence
		req.FreshConnection = rapid.Bool().Draw(t, "fresh")
		stopAt := rapid.IntRange(0, 12).Draw(t, "stop at")
		wait.Go(func() { got[i] = outcome{req, m.attempt(req, stopAt)} })
	}
	wait.Wait()
	m.outcomes = append(m.outcomes, got...)
	m.verify(t)
}

// attempt carries out one request, resumes a broken stream up to two times, and
// gives up before the stopAt-th event.
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
				return ownText(text, wantText(req.Body, 0, 5))
			}
			if err == nil {
				text += contentOf(ev.Data)
				events++
			}
			if events == stopAt {
				_ = s.Close()
				return resultcode.New(resultcode.CallerGone, "given up")
			}
		}
		_ = s.Close()
		if events == 0 || try == 2 {
			return err
		}
	}
}

// verify compares every outcome so far with what the engine really ran.
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
			t.Fatalf("%s: no typed error, or a foreign answer: %v", o.req.ID, o.err)
		case state == resultcode.NotRun && runs > 0:
			t.Fatalf("%s ran, but the code says not run: %v", o.req.ID, o.err)
		case state == resultcode.Ran && runs == 0:
			t.Fatalf("%s did not run, but the code says that it ran: %v", o.req.ID, o.err)
		case code == resultcode.EndpointUnreachable && received > 0:
			t.Fatalf("%s arrived, but the code says that nothing was sent: %v", o.req.ID, o.err)
		}
	}
}

// property is the state machine with the given defects of the client.
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

// Guards promises P7 and P8 between this VM and an engine: each answer is whole
// and one's own, or a typed error whose run state agrees with what the engine
// really ran; and nothing is sent twice.
func TestFuzzAnswers(t *testing.T) {
	proptest.Check(t, 300, 11, property(t, faults{}), proptest.Steps(8))
}

// Shows that the fuzz finds each defect.
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
