package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

const (
	// versionsInPlaceEvery is how often a seed has endpoints that change their version
	// under their identifier.
	versionsInPlaceEvery = 3
	// longestListLag is the longest time for which the platform's list shows a former
	// endpoint.
	longestListLag = time.Second
)

// Guards against a stream that is continued at another software version than the one that
// began it, in one answer or when callers take it up. It runs one short seed by default.
func TestStreamsAreNotJoinedAcrossVersions(t *testing.T) {
	seconds := envInt(t, "SOAK_SECONDS", 6)
	first, count := envInt(t, "SOAK_FIRST", 12022), envInt(t, "SOAK_SEEDS", 1)
	binary := buildDaemon(t)
	for seed := first; seed < first+count; seed++ {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runVersions(t, binary, seed, time.Duration(seconds)*time.Second) })
	}
}

func runVersions(t *testing.T, binary string, seed int, length time.Duration) {
	f := newFleet(t, seed, binary, size{control: 3, entries: 4, engines: 2, others: 3})
	f.putFirstCatalog(streamTimeout)
	f.waitReady(startTimeout)
	load := startStreamCallers(f, seed)
	routes := newRouteOperator(f, seed)
	newReleaseScript(f, rand.New(rand.NewPCG(uint64(seed), 9)), length, seed%versionsInPlaceEvery == 0).inject()
	routes.finish()
	f.checkRecovery(load.callers)
	counts, violations := load.finish()
	for _, violation := range append(violations, f.endpoints.Violations()...) {
		t.Error(violation)
	}
	if counts.continued == 0 {
		t.Error("no stream was taken up and went on")
	}
	t.Logf("seed %d: %+v", seed, counts)
	if t.Failed() {
		f.saveLogs(seed)
	}
}

// releases are the faults of streams: a script whose endpoints change their version.
type releases struct {
	*script
	// version is that of the last release, which later ones leave and return to.
	version string
}

func newReleaseScript(f *fleet, r *rand.Rand, length time.Duration, inPlace bool) *script {
	s := &releases{script: &script{fleet: f, rng: r, length: length}, version: "v1"}
	s.series(time.Second, 2500*time.Millisecond, s.releaseSeries)
	s.series(500*time.Millisecond, 2*time.Second, s.crash)
	s.series(time.Second, 3*time.Second, s.entryLoss)
	s.series(2500*time.Millisecond, 5*time.Second, s.allEntriesLoss)
	s.series(2*time.Second, 4*time.Second, s.controlLoss)
	s.series(200*time.Millisecond, 900*time.Millisecond, s.linkFault)
	s.series(500*time.Millisecond, 1500*time.Millisecond, s.cutStreams)
	if inPlace {
		s.series(500*time.Millisecond, 2*time.Second, s.changeInPlace)
	}
	// The other series draw the same faults as before this one was added.
	s.rng = rand.New(rand.NewPCG(r.Uint64(), 10))
	s.series(1500*time.Millisecond, 4*time.Second, s.leaderAndEntryLoss)
	slices.SortStableFunc(s.events, func(a, b event) int { return cmp.Compare(a.at, b.at) })
	return s.script
}

// engines returns the numbers of the engines in a random order.
func (s *releases) engines() (out []int) {
	for i, e := range s.fleet.servers {
		if e.Service == engineService {
			out = append(out, i)
		}
	}
	s.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// otherVersion returns a version other than that of the last release.
func (s *releases) otherVersion() string {
	all := slices.DeleteFunc([]string{"v1", "v2", "v3"}, func(v string) bool { return v == s.version })
	return pick(s.script, all)
}

// releaseSeries replaces half of the engines by others of one version, one after the
// other, and sometimes returns to the former version meanwhile.
func (s *releases) releaseSeries(at time.Duration) {
	former := s.version
	s.version = s.otherVersion()
	engines := s.engines()
	engines = engines[:len(engines)/2]
	s.release(at, engines, s.version)
	if s.rng.IntN(3) == 0 {
		s.release(at+s.between(300*time.Millisecond, time.Second), engines, former)
		s.version = former
	}
}

func (s *releases) release(at time.Duration, engines []int, version string) {
	for _, i := range engines {
		s.replace(at, i, standin.Replacement{
			ID: s.newName(i), Version: version, Lag: s.between(0, longestListLag), Moves: s.rng.IntN(3) == 0, Models: s.models(i),
		})
		at += s.between(50*time.Millisecond, 500*time.Millisecond)
	}
}

// newName returns an identifier that no endpoint has had.
func (s *releases) newName(server int) string { return fmt.Sprintf("e-%d.%d", server, len(s.events)) }

// models returns what a new engine has at its start: no model, or all that it can hold.
func (s *releases) models(server int) []string {
	if s.rng.IntN(3) == 0 {
		return nil
	}
	return engineModels(server)
}

// replace adds a replacement; one without an identifier keeps it.
func (s *releases) replace(at time.Duration, server int, r standin.Replacement) {
	e := s.fleet.servers[server]
	s.add(at, func() {
		r.ID = cmp.Or(r.ID, e.Name())
		if err := e.Replace(r); err != nil {
			s.fleet.t.Error(err)
		}
	})
}

// crash restarts an engine at its version, under its identifier or another one.
func (s *releases) crash(at time.Duration) {
	i := s.engines()[0]
	r := standin.Replacement{Lag: s.between(0, longestListLag), Models: s.models(i)}
	if s.rng.IntN(2) == 0 {
		r.ID = s.newName(i)
	}
	s.replace(at, i, r)
}

// changeInPlace changes the version of an engine under its identifier, while the list lags.
func (s *releases) changeInPlace(at time.Duration) {
	i := s.engines()[0]
	s.replace(at, i, standin.Replacement{Version: s.otherVersion(), Lag: s.between(0, longestListLag), Models: engineModels(i)})
}

// entryLoss kills or freezes single entries one after the other.
func (s *releases) entryLoss(at time.Duration) {
	kind := 1 + s.rng.IntN(2)
	for range 1 + s.rng.IntN(2) {
		s.disturb(pick(s.script, s.fleet.entries), at, kind, s.between(50*time.Millisecond, time.Second), nil)
		at += s.between(50*time.Millisecond, 700*time.Millisecond)
	}
}

// allEntriesLoss kills all entries at once.
func (s *releases) allEntriesLoss(at time.Duration) {
	for _, p := range s.fleet.entries {
		down := s.between(50*time.Millisecond, 400*time.Millisecond)
		s.add(at, func() { p.stop(syscall.SIGKILL, down) })
	}
}

// controlLoss kills or freezes some control VMs, at times all of them.
func (s *releases) controlLoss(at time.Duration) {
	for _, p := range s.fleet.control[:1+s.rng.IntN(len(s.fleet.control))] {
		s.disturb(p, at, 1+s.rng.IntN(2), s.between(50*time.Millisecond, time.Second), nil)
		at += s.between(0, 300*time.Millisecond)
	}
}

// leaderAndEntryLoss kills the leader, and an entry some time after it.
func (s *releases) leaderAndEntryLoss(at time.Duration) {
	p := pick(s.script, s.fleet.entries)
	down, entryDown := s.between(50*time.Millisecond, time.Second), s.between(50*time.Millisecond, time.Second)
	s.add(at, func() {
		if leader := s.fleet.leaderNow(); leader != nil {
			leader.stop(syscall.SIGKILL, down)
		}
	})
	s.add(at+s.between(0, 4*time.Second), func() { p.stop(syscall.SIGKILL, entryDown) })
}

// cutStreams makes an engine cut off a share of its streams, which entries resume.
func (s *releases) cutStreams(at time.Duration) {
	e := s.fleet.servers[s.engines()[0]]
	faults, seed := standin.Faults{CutHead: 0.05, CutBody: 0.3, Drop: 0.05, Malformed: malformedRate}, s.rng.Uint64()
	s.add(at, func() { e.SetFaults(faults, seed) })
	s.add(at+time.Second, func() { e.SetFaults(standin.Faults{}, seed) })
}
