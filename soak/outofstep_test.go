package soak

import (
	"math/rand/v2"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// frozenPlay is a release while one entry stands still, which then gets requests that take
// up streams of another entry.
type frozenPlay struct {
	name string
	// inPlace lets engines restart under their identifier; otherwise new ones join, at the
	// same addresses or at others.
	inPlace, moves bool
	frozen         time.Duration
	// silent is how long no control VM answers once the entry goes on.
	silent time.Duration
}

// Guards against a stream that goes on at another software version since the entry that
// takes it up stood still during a release, shorter or longer than an entry notices.
func TestStreamsAtAnEntryThatStoodStillDuringARelease(t *testing.T) {
	seed := envInt(t, "SOAK_FIRST", 14013)
	plays := []frozenPlay{
		{name: "engines join at the same addresses", frozen: 2500 * time.Millisecond},
		{name: "engines join at other addresses", moves: true, frozen: 5 * time.Second},
		{name: "engines restart in place, control VMs are silent", inPlace: true, frozen: 2500 * time.Millisecond, silent: time.Second},
		{name: "engines restart in place", inPlace: true, frozen: 5 * time.Second},
	}
	f := newFleet(t, seed, buildDaemon(t), size{control: 3, entries: 2, engines: 2})
	f.putFirstCatalog(streamTimeout)
	f.waitReady(startTimeout)
	load := newStreamCallers(f)
	load.deadline = streamTimeout // streams outlast a freeze
	version := "v1"
	for i, p := range plays {
		version = map[string]string{"v1": "v2", "v2": "v1"}[version]
		t.Run(p.name, func(t *testing.T) { p.run(t, load, version, uint64(seed+i)) })
	}
	if t.Failed() {
		f.saveLogs(seed)
	}
}

// beforeRelease is the time from the freeze to the release: longer than a control VM holds a
// call.
const beforeRelease = 700 * time.Millisecond

// cutAfter is the time from the release to the end of the streams at the first entry. They
// begin in its middle, when that entry knows the release.
const cutAfter = 1400 * time.Millisecond

// run plays a release of a version while the second entry is frozen.
func (p *frozenPlay) run(t *testing.T, load *streamCallers, version string, seed uint64) {
	f, r := load.callers.fleet, rand.New(rand.NewPCG(seed, 0))
	var wg sync.WaitGroup
	var counts frozenCounts
	begin := func(n int) {
		for range n {
			s := load.begin(r)
			wg.Go(func() { counts.add(t, load, s) })
		}
	}
	begin(6)
	for range 24 {
		s := load.begin(r)
		wg.Go(func() { counts.addOwn(t, load, s) })
	}
	time.Sleep(400 * time.Millisecond)
	f.entries[1].signal(syscall.SIGSTOP)
	// The last answer of a control VM that waits for the frozen entry has the list before.
	time.Sleep(beforeRelease)
	p.release(t, f, version)
	time.Sleep(cutAfter / 2)
	begin(18)
	time.Sleep(cutAfter / 2)
	f.entryProxies[0].Reset()
	time.Sleep(p.frozen - beforeRelease - cutAfter)
	p.signalControl(f, syscall.SIGSTOP)
	f.entries[1].signal(syscall.SIGCONT)
	time.Sleep(p.silent)
	p.signalControl(f, syscall.SIGCONT)
	wg.Wait()
	t.Logf("%+v", counts.tally)
	if counts.tally.takenUp == 0 {
		t.Error("no stream was taken up")
	}
}

// signalControl signals all control VMs in a play in which they do not answer.
func (p *frozenPlay) signalControl(f *fleet, signal syscall.Signal) {
	for _, c := range f.control {
		if p.silent > 0 {
			c.signal(signal)
		}
	}
}

// release replaces half of the engines, or all in place, which the list shows at once.
func (p *frozenPlay) release(t *testing.T, f *fleet, version string) {
	for i, e := range f.servers {
		if e.Service != engineService || (i%2 == 0 && !p.inPlace) {
			continue
		}
		to := standin.Replacement{ID: e.Name(), Version: version, Moves: p.moves, Models: engineModels(i)}
		if !p.inPlace {
			to.ID += "." + version
		}
		if err := e.Replace(to); err != nil {
			t.Error(err)
		}
	}
}

// frozenCounts counts what became of the streams of a play.
type frozenCounts struct {
	mu    sync.Mutex
	tally struct{ takenUp, wentOn, refused, joined int }
}

// add plays one stream, which begins at the first entry and is taken up at the second one. A
// stream that the first entry joins is not of interest here.
func (n *frozenCounts) add(t *testing.T, load *streamCallers, s *chain) {
	f := load.callers.fleet
	if load.judge(s, load.try(s, f.entryProxies[0].Address())) || s.last == 0 {
		return
	}
	n.takeUp(t, load, s)
}

// addOwn plays one stream that begins at the second entry and is taken up there.
func (n *frozenCounts) addOwn(t *testing.T, load *streamCallers, s *chain) {
	if ended := load.judge(s, load.try(s, load.callers.fleet.entries[1].callerAddress())); ended && len(standin.VersionsIn(s.body)) == 1 {
		return
	}
	n.takeUp(t, load, s)
}

func (n *frozenCounts) takeUp(t *testing.T, load *streamCallers, s *chain) {
	f, had := load.callers.fleet, s.last
	o := load.try(s, f.entries[1].callerAddress())
	load.judge(s, o)
	n.mu.Lock()
	defer n.mu.Unlock()
	n.tally.takenUp++
	switch versions := standin.VersionsIn(s.body); {
	case len(versions) > 1:
		n.tally.joined++
		t.Errorf("stream %s, taken up after event %d, holds events of versions %v: runs %+v", s.name, had, versions, load.runs(s))
	case s.last > had:
		n.tally.wentOn++
	default:
		n.tally.refused++
	}
}
