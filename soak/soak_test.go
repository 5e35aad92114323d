package soak

import (
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

const (
	// startTimeout bounds the time until the first catalog is acknowledged, and the
	// time until all entries are ready.
	startTimeout = 20 * time.Second
	// recoveryTimeout is the time after the last fault within which requests must be
	// served again.
	recoveryTimeout = 12 * time.Second
	// leavingDelay is the time for which an endpoint may still receive new requests
	// after it announced that it is leaving, while no fault is active.
	leavingDelay = 3 * time.Second
)

// regressionSeeds are seeds that used to fail, each with the cause of the failure.
var regressionSeeds = []int{
	1, // an acknowledged change was lost: only two voters had stored it, and one of them lost its disk
	// Requests ran twice: a refusal that named no request was taken for the answer to the
	// present one.
	2007, 2008,
}

func envInt(t *testing.T, name string, fallback int) int {
	text := os.Getenv(name)
	if text == "" {
		return fallback
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// Guards against violated guarantees while processes and connections fail. By
// default it runs one short seed and every regression seed.
func TestSoak(t *testing.T) {
	seconds := envInt(t, "SOAK_SECONDS", 6)
	first, count := envInt(t, "SOAK_FIRST", 2), envInt(t, "SOAK_SEEDS", 1)
	seeds := append([]int(nil), regressionSeeds...)
	for i := range count {
		seeds = append(seeds, first+i)
	}
	binary := buildDaemon(t)
	for _, seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runSeed(t, binary, seed, time.Duration(seconds)*time.Second) })
	}
}

// largeEvery is how often a seed has a large fleet.
const largeEvery = 10

// sizeOf returns the number of processes of a seed.
func sizeOf(seed int) size {
	if seed%largeEvery == 0 {
		return size{control: 5, entries: 40}
	}
	return size{control: 3, entries: 3}
}

// runSeed starts a fleet, injects the faults of one seed, ends them and checks the
// outcomes.
func runSeed(t *testing.T, binary string, seed int, length time.Duration) {
	f := newFleet(t, seed, binary, sizeOf(seed))
	firstVersion := f.putFirstCatalog(standin.RouteTimeout)
	f.waitReady(startTimeout)
	load, op := startCallers(f, seed), startOperator(f, firstVersion)
	newScript(f, rand.New(rand.NewPCG(uint64(seed), 7)), length).inject()
	op.fixEvacuation(f, false)
	f.checkRecovery(load)
	f.checkEvacuation(op)
	f.checkLeaving()
	f.checkMemory()
	outcomes := load.finish()
	acked, violations := op.finish()
	for _, violation := range append(violations, f.endpoints.Violations()...) {
		t.Error(violation)
	}
	f.checkLastCatalog(acked)
	served, statuses := f.checkOutcomes(outcomes)
	t.Logf("seed %d: %d requests, %d served, %v by status, catalog %d, %d runs, %d copies of refusals, %d MB at most in an entry", seed, len(outcomes), served, statuses, acked, f.endpoints.Total(), f.endpoints.Counts.Copies.Load(), f.peakMemory/1e6)
	if t.Failed() {
		f.saveLogs(seed)
	}
}

// checkOutcomes checks what callers saw. It returns how many requests were served, and
// the number of requests by their status, which is 0 without a response.
func (f *fleet) checkOutcomes(outcomes []outcome) (served int, statuses map[int]int) {
	statuses = map[int]int{}
	for _, o := range outcomes {
		statuses[o.status]++
		if violation := findViolation(f.endpoints, o); violation != "" {
			f.t.Errorf("request %s, number %d, to %s at %s: %s", o.id, o.number, o.prefix, o.sent.Format(time.TimeOnly), violation)
		}
		if o.status == http.StatusOK && o.complete {
			served++
		}
	}
	return served, statuses
}

// putFirstCatalog puts the first catalog and returns its version.
func (f *fleet) putFirstCatalog(timeout time.Duration) uint64 {
	op := standin.Operator{HTTP: &http.Client{Timeout: time.Second}}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range f.control {
			if status, err := op.Put(p.settings.IP, standin.CatalogWithTimeout(1, timeout, soakKey)); err == nil && status == http.StatusOK {
				return 1
			}
		}
	}
	f.saveLogs(0)
	f.t.Fatal("the first catalog was not acknowledged")
	return 0
}

func (f *fleet) waitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, p := range f.entries {
		for !p.ready(client) {
			if time.Now().After(end) {
				f.saveLogs(0)
				f.t.Fatalf("%s is not ready after %v", p.settings.VM, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// checkRecovery checks that each entry serves plain and streaming requests again.
func (f *fleet) checkRecovery(c *callers) {
	end := time.Now().Add(recoveryTimeout)
	var wg sync.WaitGroup
	for i := range f.entries {
		wg.Go(func() {
			for _, prefix := range []string{standin.PrefixNonIdempotent, standin.PrefixStream} {
				f.checkServes(c, i, prefix, end)
			}
		})
	}
	wg.Wait()
}

// checkServes checks that an entry serves a request by the end.
func (f *fleet) checkServes(c *callers, entry int, prefix string, end time.Time) {
	p := f.entries[entry]
	for time.Now().Before(end) {
		if !p.alive() {
			p.start()
		}
		s := &session{address: f.entryProxies[entry].Address()}
		o := c.send(s, prefix, standin.Model, shape{deadline: callerDeadline})
		s.close()
		if o.status == http.StatusOK && o.complete {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Errorf("%s does not serve %s within %v after the last fault", p.settings.VM, prefix, recoveryTimeout)
}

// checkLeaving checks that a leaving endpoint receives no new requests after
// leavingDelay.
func (f *fleet) checkLeaving() {
	if f.t.Failed() {
		return
	}
	e := f.servers[0]
	e.SetLeaving(true)
	time.Sleep(leavingDelay)
	began := time.Now()
	time.Sleep(time.Second)
	if n := f.endpoints.RunsSince(e, began); n > 0 {
		f.t.Errorf("a leaving endpoint received %d new requests later than %v after its announcement", n, leavingDelay)
	}
}

// checkLastCatalog checks that a control VM returns the newest acknowledged
// catalog, or a later one.
func (f *fleet) checkLastCatalog(acked uint64) {
	op := standin.Operator{HTTP: &http.Client{Timeout: time.Second}}
	for end := time.Now().Add(recoveryTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range f.control {
			status, version, err := op.Get(p.settings.IP)
			if err != nil || status != http.StatusOK {
				continue
			}
			if version < acked {
				f.t.Errorf("catalog version %d was read back, but version %d was acknowledged", version, acked)
			}
			return
		}
	}
	f.t.Errorf("no catalog could be read back within %v after the last fault", recoveryTimeout)
}

// saveLogs copies the daemons' logs to a directory that remains after the test.
func (f *fleet) saveLogs(seed int) {
	dir, err := os.MkdirTemp("", "soak-"+strconv.Itoa(seed)+"-")
	if err != nil {
		f.t.Log(err)
		return
	}
	for _, p := range f.processes() {
		data, err := os.ReadFile(p.dir + "/log")
		if err == nil {
			err = os.WriteFile(dir+"/"+p.settings.VM+".log", data, 0o600)
		}
		if err != nil {
			f.t.Log(err)
		}
	}
	f.t.Logf("the daemons' logs are in %s", dir)
}
