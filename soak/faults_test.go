package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"syscall"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
	"github.com/radishloom/radishloom/soak/proxy"
)

// event is one fault at a time since the first one.
type event struct {
	at     time.Duration
	inject func()
}

// script is the faults of one seed. They come in series that overlap: of links, of
// entries, of control VMs and of endpoints.
type script struct {
	fleet  *fleet
	rng    *rand.Rand
	length time.Duration
	events []event
	// wipesLeft is how many control VMs may still lose their state; at most one may be
	// without it at a time.
	wipesLeft int
}

func newScript(f *fleet, r *rand.Rand, length time.Duration) *script {
	s := &script{fleet: f, rng: r, length: length, wipesLeft: 1}
	s.series(100*time.Millisecond, 600*time.Millisecond, s.linkFault)
	s.series(300*time.Millisecond, 1500*time.Millisecond, s.entrySeries)
	s.series(time.Second, 3*time.Second, s.controlSeries)
	s.series(200*time.Millisecond, time.Second, s.endpointSeries)
	// The other series draw the same faults as before this one was added.
	s.rng = rand.New(rand.NewPCG(r.Uint64(), 8))
	s.series(300*time.Millisecond, 1200*time.Millisecond, s.renameSeries)
	slices.SortStableFunc(s.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return s
}

// series calls begin at random times between least and most apart.
func (s *script) series(least, most time.Duration, begin func(at time.Duration)) {
	for at := s.between(0, most); at < s.length; at += s.between(least, most) {
		begin(at)
	}
}

func (s *script) between(least, most time.Duration) time.Duration {
	return least + time.Duration(s.rng.Int64N(int64(most-least)))
}

func (s *script) add(at time.Duration, inject func()) {
	s.events = append(s.events, event{at, inject})
}

func pick[T any](s *script, all []T) T { return all[s.rng.IntN(len(all))] }

func (s *script) linkFault(at time.Duration) {
	p := pick(s, append(append([]*proxy.Proxy(nil), s.fleet.entryProxies...), s.fleet.serverProxies...))
	mode := proxy.Mode(s.rng.IntN(int(proxy.Refuse) + 1))
	if s.rng.IntN(4) == 0 {
		s.add(at, p.Reset)
		return
	}
	s.add(at, func() { p.SetMode(mode) })
	s.add(at+s.between(100*time.Millisecond, 2*time.Second), func() { p.SetMode(proxy.Pass) })
}

// entrySeries stops, kills, freezes or reconfigures entries one after the other.
func (s *script) entrySeries(at time.Duration) {
	kind := s.rng.IntN(disturbances)
	for range 1 + s.rng.IntN(len(s.fleet.entries)) {
		p := pick(s, s.fleet.entries)
		down := s.between(50*time.Millisecond, 2*time.Second)
		s.disturb(p, at, kind, down, func() { p.signal(syscall.SIGHUP) })
		at += s.between(50*time.Millisecond, 700*time.Millisecond)
	}
}

// disturbances is how many kinds of disturbance a process may have.
const disturbances = 4

// disturb adds a disturbance of a process: a stop, a kill, a freeze or another one.
func (s *script) disturb(p *process, at time.Duration, kind int, down time.Duration, other func()) {
	switch kind {
	case 0:
		s.add(at, func() { p.stop(syscall.SIGTERM, down) })
	case 1:
		s.add(at, func() { p.stop(syscall.SIGKILL, down) })
	case 2:
		s.add(at, func() { p.freeze(down) })
	default:
		s.add(at, other)
	}
}

// controlSeries stops, kills, freezes or empties one control VM, and sometimes another
// one meanwhile.
func (s *script) controlSeries(at time.Duration) {
	for range 1 + s.rng.IntN(2) {
		p := pick(s, s.fleet.control)
		down := s.between(50*time.Millisecond, 3*time.Second)
		s.disturb(p, at, s.rng.IntN(disturbances), down, func() { s.wipe(p) })
		at += s.between(100*time.Millisecond, time.Second)
	}
}

func (s *script) wipe(p *process) {
	if s.wipesLeft > 0 && s.fleet.allControlRunning() {
		s.wipesLeft--
		s.fleet.wipeDataDirectory(p)
	}
}

// endpointSeries restarts an endpoint, under its identifier or another one, or changes
// how it misbehaves.
func (s *script) endpointSeries(at time.Duration) {
	e := pick(s, s.fleet.servers)
	n, sameID := len(s.events), s.rng.IntN(3) == 0
	if s.rng.IntN(4) == 0 {
		s.add(at, func() {
			id := e.Name()
			if !sameID {
				id = fmt.Sprintf("%s.%d", id[:min(len(id), len("e-0"))], n)
			}
			if err := e.Restart(id); err != nil {
				s.fleet.t.Errorf("restart endpoint %s: %v", id, err)
			}
		})
		return
	}
	faults, seed := s.drawFaults(), s.rng.Uint64()
	s.add(at, func() { e.SetFaults(faults, seed) })
}

// renameSeries changes the identifier of an endpoint on its open connections, while the
// other plain endpoints are slow, so that requests wait until the list shows the new one.
func (s *script) renameSeries(at time.Duration) {
	const (
		longestLag = time.Second
		slowWork   = 200 * time.Millisecond
	)
	e, n := pick(s, s.fleet.servers), len(s.events)
	for i := range 1 + s.rng.IntN(3) {
		lag := time.Duration(s.rng.Int64N(int64(longestLag)))
		s.add(at, func() {
			id := e.Name()
			e.Rename(fmt.Sprintf("%s_%d_%d", id[:min(len(id), len("e-0"))], n, i), lag)
		})
		for _, other := range s.fleet.servers {
			if other != e {
				s.add(at, func() { other.SetWork(slowWork) })
				s.add(at+lag, func() { other.SetWork(standin.RequestTime) })
			}
		}
		at += s.between(50*time.Millisecond, 500*time.Millisecond)
	}
}

// copyRate is the share of the refused requests under way again that get a copy of their
// refusal.
const copyRate = 0.7

// malformedRate is the share of answers that are no HTTP responses.
const malformedRate = 0.02

// cutEarlyRate is the share of answers that are cut off while their requests are being sent.
const cutEarlyRate = 0.02

// drawFaults returns some of the faults of an endpoint, each with a high or a low rate.
func (s *script) drawFaults() standin.Faults {
	rate := func() float64 { return []float64{0, 0, 0.03, 0.2}[s.rng.IntN(4)] }
	return standin.Faults{
		Refuse: rate(), Early: rate(), CutHead: rate() / 2, CutBody: rate() / 2, NoLength: rate(), Drop: rate() / 2,
		Repeat: rate(), Unnamed: s.rng.Float64(), Garbage: rate() / 2, LateOrder: rate(), Endless: rate() / 4, Copy: copyRate, Malformed: malformedRate,
		CutEarly: cutEarlyRate,
	}
}

// inject injects the faults and ends them.
func (s *script) inject() {
	const tick = 20 * time.Millisecond
	began := time.Now()
	for i := 0; time.Since(began) < s.length; time.Sleep(tick) {
		for i < len(s.events) && s.events[i].at <= time.Since(began) {
			s.events[i].inject()
			i++
		}
		s.fleet.recordMemory()
		for _, p := range s.fleet.processes() {
			p.restore(time.Now())
		}
	}
	s.fleet.endFaults()
}

// stop sends a signal that ends a running process, which starts again some time after
// its end.
func (p *process) stop(s syscall.Signal, down time.Duration) {
	p.resume()
	p.signal(s)
	p.stopping, p.down, p.restoreAt = true, down, time.Time{}
}

// freeze pauses a running process for some time.
func (p *process) freeze(length time.Duration) {
	if !p.alive() || p.paused {
		return
	}
	p.signal(syscall.SIGSTOP)
	p.paused = true
	p.restoreAt = time.Now().Add(length)
}

func (p *process) resume() {
	if p.paused {
		p.signal(syscall.SIGCONT)
	}
	p.paused = false
}

// restore resumes a paused process and starts one that has exited when their time has
// come.
func (p *process) restore(now time.Time) {
	switch {
	case p.alive() && p.paused && now.After(p.restoreAt):
		p.resume()
	case !p.alive() && p.restoreAt.IsZero():
		p.restoreAt = now.Add(p.down)
	case !p.alive() && now.After(p.restoreAt):
		p.start()
	}
}

func (f *fleet) allControlRunning() bool {
	for _, p := range f.control {
		if !p.alive() || p.paused {
			return false
		}
	}
	return true
}

// wipeDataDirectory kills a control VM, deletes its data directory and restarts it.
func (f *fleet) wipeDataDirectory(p *process) {
	p.kill()
	if err := os.RemoveAll(p.settings.DataDirectory); err != nil {
		f.t.Fatal(err)
	}
	p.start()
}

// endFaults ends all faults and restarts the processes that have exited.
func (f *fleet) endFaults() {
	for _, p := range append(append([]*proxy.Proxy(nil), f.entryProxies...), f.serverProxies...) {
		p.SetMode(proxy.Pass)
	}
	for _, e := range f.servers {
		e.SetFaults(standin.Faults{}, 0)
		e.SetWork(standin.RequestTime)
	}
	for _, p := range f.processes() {
		p.resume()
	}
	// A process that was still handling a stop signal may exit in this time.
	for end := time.Now().Add(stopTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		stopping := false
		for _, p := range f.processes() {
			stopping = stopping || p.stopping
			if !p.alive() {
				p.start()
			}
		}
		if !stopping {
			return
		}
	}
}
