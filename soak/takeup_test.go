package soak

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

const (
	// takeUpStreams is the number of streams of a play.
	takeUpStreams = 20
	// takeUpEvents makes streams last 14 s: longer than the grace of an entry that stops,
	// or than a new leader and the pause after it.
	takeUpEvents = 560
	// takeUpTimeout is the timeout of the route, and the deadline that requests state.
	takeUpTimeout = 20 * time.Second
	// takeUpTries is how often a caller takes its stream up.
	takeUpTries = 3
	// catalogApplied is how long after its acknowledgement a catalog is in force.
	catalogApplied = 2500 * time.Millisecond
	// afterLeader is the time between the loss of the leader and that of an entry.
	afterLeader = 5 * time.Second
)

// routeKind is what the resumable routes of a catalog look like.
type routeKind int

const (
	oneService routeKind = iota
	oneServiceAndOthers
	longerPrefixBelow
	evenSplit
	unevenSplit
	otherService
	routeKinds // number of kinds
)

func (k routeKind) String() string {
	return [...]string{"one service", "one service and other routes", "longer prefix below", "even split", "uneven split", "other service"}[k]
}

// routes returns the resumable routes of a catalog.
func (k routeKind) routes() []standin.StreamRoute {
	route := func(prefix string, weight, otherWeight int) standin.StreamRoute {
		r := standin.StreamRoute{Prefix: prefix}
		if weight > 0 {
			r.Splits = append(r.Splits, standin.Split{Service: standin.EngineService, Weight: weight})
		}
		if otherWeight > 0 {
			r.Splits = append(r.Splits, standin.Split{Service: standin.OtherEngineService, Weight: otherWeight})
		}
		return r
	}
	switch k {
	case oneServiceAndOthers:
		return []standin.StreamRoute{route(standin.PrefixResumable, 1, 0), route("/more/", 0, 1)}
	case longerPrefixBelow:
		return []standin.StreamRoute{route(standin.PrefixResumable, 1, 0), route(standin.PrefixResumable+"longer/", 0, 1)}
	case evenSplit:
		return []standin.StreamRoute{route(standin.PrefixResumable, 50, 50)}
	case unevenSplit:
		return []standin.StreamRoute{route(standin.PrefixResumable, 90, 10)}
	case otherService:
		return []standin.StreamRoute{route(standin.PrefixResumable, 0, 1)}
	default:
		return []standin.StreamRoute{route(standin.PrefixResumable, 1, 0)}
	}
}

// takeUpPlay is the loss of an entry, whose callers take their streams up at others.
type takeUpPlay struct {
	before, after routeKind // the catalogs at the begin of the streams and at the loss
	// versions lets two versions serve engineService side by side.
	versions bool
	// leaderLost lets the leader be killed before the entry.
	leaderLost bool
	signal     syscall.Signal
}

func (p takeUpPlay) String() string {
	return fmt.Sprintf("%v, then %v, two versions %t, leader lost %t, %v", p.before, p.after, p.versions, p.leaderLost, p.signal)
}

// leadsTo reports whether the route of the streams leads to a service in the last catalog.
func (p takeUpPlay) leadsTo(service string) bool {
	return slices.ContainsFunc(p.after.routes()[0].Splits, func(x standin.Split) bool { return x.Service == service })
}

// takeUpPlays returns the plays of a seed: the plain ones that used to fail, or one that is
// drawn.
func takeUpPlays(seed int) []takeUpPlay {
	if seed == 0 {
		return []takeUpPlay{
			{before: evenSplit, after: evenSplit, signal: syscall.SIGKILL},
			{before: oneService, after: unevenSplit, signal: syscall.SIGKILL},
			{before: oneService, after: oneService, versions: true, leaderLost: true, signal: syscall.SIGKILL},
			{before: oneService, after: otherService, signal: syscall.SIGKILL},
		}
	}
	r := rand.New(rand.NewPCG(uint64(seed), 11))
	return []takeUpPlay{{
		before: routeKind(r.IntN(int(routeKinds))), after: routeKind(r.IntN(int(routeKinds))),
		versions: r.IntN(2) == 0, leaderLost: r.IntN(2) == 0,
		signal: []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[r.IntN(2)],
	}}
}

// Guards against streams that are refused, or joined from two services or versions, after
// the loss of the entry that began them: on split routes, after catalogs that change
// routes, and after the loss of the leader.
func TestStreamsOfALostEntryGoOn(t *testing.T) {
	first, count := envInt(t, "SOAK_FIRST", 0), envInt(t, "SOAK_SEEDS", 1)
	binary := buildDaemon(t)
	for seed := first; seed < first+count; seed++ {
		for i, p := range takeUpPlays(seed) {
			t.Run(fmt.Sprintf("%d %v", seed, p), func(t *testing.T) {
				t.Parallel()
				runTakeUpPlay(t, binary, 40000+10*seed+i, p)
			})
		}
	}
}

func runTakeUpPlay(t *testing.T, binary string, run int, p takeUpPlay) {
	f := newFleet(t, run, binary, size{control: 5, entries: 4, engines: 2, others: 3, direct: true})
	f.putFirstCatalog(takeUpTimeout)
	f.waitReady(startTimeout)
	if p.versions {
		f.setVersions(engineService, "v1", "v2")
	}
	f.putRoutes(2, p.before)
	time.Sleep(catalogApplied)
	counts := takeUpCounts{load: newStreamCallers(f), t: t}
	counts.load.deadline = takeUpTimeout
	var streams sync.WaitGroup
	for range takeUpStreams {
		streams.Go(func() { counts.play(p) })
	}
	time.Sleep(time.Second)
	if p.after != p.before {
		f.putRoutes(3, p.after)
		time.Sleep(catalogApplied)
	}
	if p.leaderLost {
		f.leader().stop(syscall.SIGKILL, time.Hour)
		time.Sleep(afterLeader)
	}
	f.entries[0].stop(p.signal, time.Hour)
	streams.Wait()
	counts.check(p)
	if t.Failed() {
		f.saveLogs(run)
	}
}

// takeUpCounts counts what became of the streams of a play.
type takeUpCounts struct {
	load *streamCallers
	t    *testing.T

	mu sync.Mutex
	// broken is how many streams broke off, possible how many of them began at a service
	// to which their route still leads, and wentOn how many went on.
	broken, possible, wentOn int
}

// play begins a stream at the first entry and takes it up at others once it has broken off.
func (n *takeUpCounts) play(p takeUpPlay) {
	f := n.load.callers.fleet
	s := &chain{name: standin.StreamName(n.load.callers.lastID.Add(1), takeUpEvents), model: standin.Model}
	if n.load.judge(s, n.load.try(s, f.entries[0].callerAddress())) || s.last == 0 {
		return
	}
	had, others := s.last, f.entries[1:]
	for i := range takeUpTries {
		o := n.load.try(s, others[(i+had)%len(others)].callerAddress())
		n.load.judge(s, o)
		if o.status != http.StatusServiceUnavailable {
			break
		}
		time.Sleep(o.retryAfter)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.broken++
	if p.leadsTo(f.endpoints.Runs(s.began)[0].Service) {
		n.possible++
	}
	if s.last > had {
		n.wentOn++
	}
	n.checkService(p, s)
}

// checkService checks that no try ran at a service to which the last catalog does not lead.
func (n *takeUpCounts) checkService(p takeUpPlay, s *chain) {
	for _, id := range s.tries[1:] {
		for _, r := range n.load.callers.fleet.endpoints.Runs(id) {
			if !p.leadsTo(r.Service) {
				n.t.Errorf("stream %s ran at %+v, but its route is %v", s.name, r, p.after.routes()[0])
			}
		}
	}
}

func (n *takeUpCounts) check(p takeUpPlay) {
	counts, violations := n.load.finish()
	for _, violation := range append(violations, n.load.callers.fleet.endpoints.Violations()...) {
		n.t.Error(violation)
	}
	n.t.Logf("%d streams broke off, %d of %d went on; %+v", n.broken, n.wentOn, n.possible, counts)
	if n.broken < takeUpStreams/2 {
		n.t.Errorf("%d of %d streams broke off, want at least half", n.broken, takeUpStreams)
	}
	if 2*n.wentOn < n.possible {
		n.t.Errorf("%d of %d streams that were taken up went on, want at least half", n.wentOn, n.possible)
	}
}

// setVersions gives the engines of a service versions in turn.
func (f *fleet) setVersions(service string, versions ...string) {
	for i, e := range f.servers {
		if e.Service == service {
			e.SetVersion(versions[i%len(versions)])
		}
	}
}

// putRoutes puts a catalog until it is acknowledged.
func (f *fleet) putRoutes(version uint64, k routeKind) {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if f.putRoutesOnce(version, takeUpTimeout, k) {
			return
		}
	}
	f.t.Errorf("catalog %d was not acknowledged", version)
}

// putRoutesOnce sends a catalog to one control VM after the other and reports whether one
// has acknowledged it.
func (f *fleet) putRoutesOnce(version uint64, timeout time.Duration, k routeKind) bool {
	op := standin.Operator{HTTP: &http.Client{Timeout: time.Second}}
	document := standin.CatalogWithStreams(version, timeout, k.routes(), soakKey)
	for _, p := range f.control {
		if status, err := op.Put(p.settings.IP, document); err == nil && status == http.StatusOK {
			return true
		}
	}
	return false
}

// routeOperator puts catalogs with other resumable routes again and again.
type routeOperator struct {
	fleet *fleet
	rng   *rand.Rand
	stop  chan struct{}
	wg    sync.WaitGroup
}

// longestRoutes is the longest time between two catalogs of a routeOperator.
const longestRoutes = 3 * time.Second

func newRouteOperator(f *fleet, seed int) *routeOperator {
	o := &routeOperator{fleet: f, rng: rand.New(rand.NewPCG(uint64(seed), 12)), stop: make(chan struct{})}
	o.wg.Go(o.run)
	return o
}

func (o *routeOperator) run() {
	for version := uint64(2); ; version++ {
		select {
		case <-o.stop:
			return
		case <-time.After(time.Duration(o.rng.Int64N(int64(longestRoutes)))):
		}
		o.fleet.putRoutesOnce(version, streamTimeout, routeKind(o.rng.IntN(int(routeKinds))))
	}
}

func (o *routeOperator) finish() {
	close(o.stop)
	o.wg.Wait()
}

// leader returns the control VM that leads by its metrics.
func (f *fleet) leader() *process {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		if p := f.leaderNow(); p != nil {
			return p
		}
	}
	f.t.Fatal("no control VM leads")
	return nil
}

// leaderNow returns the control VM that leads, or nil if none says so.
func (f *fleet) leaderNow() *process {
	for _, p := range f.control {
		if p.leads() {
			return p
		}
	}
	return nil
}

// metricsTimeout is short: a frozen VM does not answer.
const metricsTimeout = 100 * time.Millisecond

func (p *process) leads() bool {
	client := http.Client{Timeout: metricsTimeout}
	defer client.CloseIdleConnections()
	resp, err := client.Get("http://" + p.settings.IP + ":" + strconv.Itoa(standin.PeerPort+1) + "/metrics")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if name, value, _ := strings.Cut(lines.Text(), " "); strings.HasPrefix(name, "radishloom_leader") {
			return value == "1"
		}
	}
	return false
}

// Guards against streams that go on at the service to which their route was moved: all
// entries are lost before they report the streams, and start into the later catalog.
func TestStreamsOfLostEntriesDoNotFollowTheirRoute(t *testing.T) {
	const (
		run = 40900
		// unreported is shorter than the time in which entries report a stream.
		unreported = 60 * time.Millisecond
	)
	f := newFleet(t, run, buildDaemon(t), size{control: 3, entries: 3, engines: 2, others: 3, direct: true})
	f.putFirstCatalog(takeUpTimeout)
	f.waitReady(startTimeout)
	load := newStreamCallers(f)
	load.deadline = takeUpTimeout
	var streams []*chain
	var begin sync.WaitGroup
	for i := range takeUpStreams {
		s := &chain{name: standin.StreamName(load.callers.lastID.Add(1), takeUpEvents), model: standin.Model}
		streams = append(streams, s)
		begin.Go(func() { load.judge(s, load.try(s, f.entries[i%len(f.entries)].callerAddress())) })
	}
	f.waitForRuns(takeUpStreams/2, startTimeout)
	time.Sleep(unreported)
	for _, p := range f.entries {
		p.kill()
	}
	begin.Wait()
	f.putRoutes(2, otherService)
	for _, p := range f.entries {
		p.start()
	}
	f.waitReady(startTimeout)
	taken := 0
	for i, s := range streams {
		if s.last == 0 {
			continue
		}
		taken++
		if load.judge(s, load.try(s, f.entries[i%len(f.entries)].callerAddress())); s.wentOn {
			t.Errorf("stream %s goes on after its route has moved", s.name)
		}
	}
	if taken == 0 {
		t.Error("no stream had begun")
	}
	_, violations := load.finish()
	for _, violation := range violations {
		t.Error(violation)
	}
	if t.Failed() {
		f.saveLogs(run)
	}
}

// waitForRuns waits until endpoints have begun to run n requests.
func (f *fleet) waitForRuns(n int, timeout time.Duration) {
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if f.endpoints.Total() >= n {
			return
		}
	}
	f.t.Errorf("endpoints ran %d requests, want %d", f.endpoints.Total(), n)
}
