package soak

import (
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"testing"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
	"github.com/radishloom/radishloom/soak/proxy"
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
	for _, seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { runSeed(t, seed, time.Duration(seconds)*time.Second) })
	}
}

// runSeed starts a fleet, injects the faults of one seed, ends them and checks the
// outcomes.
func runSeed(t *testing.T, seed int, length time.Duration) {
	f := newFleet(t, seed)
	firstVersion := f.putFirstCatalog()
	f.waitReady(startTimeout)
	load, op := startCallers(f), startOperator(f, firstVersion)
	injectFaults(f, rand.New(rand.NewPCG(uint64(seed), 7)), length)
	f.checkRecovery(load)
	f.checkLeaving()
	outcomes := load.finish()
	acked, violations := op.finish()
	for _, violation := range violations {
		t.Error(violation)
	}
	f.checkLastCatalog(acked)
	served := 0
	for _, o := range outcomes {
		if violation := findViolation(f.endpoints, o); violation != "" {
			t.Errorf("request %s to %s at %s: %s", o.id, o.prefix, o.sent.Format(time.TimeOnly), violation)
		}
		if o.status == http.StatusOK && o.complete {
			served++
		}
	}
	t.Logf("seed %d: %d requests, %d served, catalog %d, %d runs", seed, len(outcomes), served, acked, f.endpoints.Total())
	if t.Failed() {
		f.saveLogs(seed)
	}
}

// putFirstCatalog puts the first catalog and returns its version.
func (f *fleet) putFirstCatalog() uint64 {
	op := standin.Operator{HTTP: &http.Client{Timeout: time.Second}}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range f.control {
			if status, err := op.Put(p.settings.IP, standin.Catalog(1, soakKey)); err == nil && status == http.StatusOK {
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

// injectFaults injects overlapping faults for the given time and then ends them.
func injectFaults(f *fleet, r *rand.Rand, length time.Duration) {
	wipesLeft := 1 // control VMs that may still lose their state; at most one may be without it at a time
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond) {
		entry, server := r.IntN(entryVMs), r.IntN(len(f.servers))
		switch action := r.IntN(11); action {
		case 0, 1:
			f.entryProxies[entry].SetMode(proxy.Mode(r.IntN(int(proxy.Refuse) + 1)))
		case 2, 3:
			f.serverProxies[server].SetMode(proxy.Mode(r.IntN(int(proxy.Refuse) + 1)))
		case 4:
			f.entryProxies[entry].Reset()
			f.serverProxies[server].Reset()
		case 5:
			f.stopOrStart(f.entries[entry], syscall.SIGKILL)
		case 6:
			f.stopOrStart(f.entries[entry], syscall.SIGTERM)
		case 7:
			f.pauseOrResume(f.entries[entry])
		case 8:
			f.stopOrStart(f.control[r.IntN(controlVMs)], []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[r.IntN(2)])
		case 9:
			f.pauseOrResume(f.control[r.IntN(controlVMs)])
		case 10:
			if wipesLeft > 0 && f.allControlRunning() {
				wipesLeft--
				f.wipeDataDirectory(f.control[r.IntN(controlVMs)])
			}
		}
		f.entries[entry].signal(syscall.SIGHUP)
	}
	f.endFaults()
}

// stopOrStart sends a signal that ends a process, or starts the process if it has
// exited. A paused process is resumed first.
func (f *fleet) stopOrStart(p *process, s syscall.Signal) {
	if !p.alive() {
		p.start()
		return
	}
	if p.paused {
		f.pauseOrResume(p)
	}
	p.signal(s)
}

// pauseOrResume pauses a running process or resumes a paused one.
func (f *fleet) pauseOrResume(p *process) {
	if !p.alive() {
		return
	}
	if p.paused {
		p.signal(syscall.SIGCONT)
	} else {
		p.signal(syscall.SIGSTOP)
	}
	p.paused = !p.paused
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
	for _, p := range append(f.entryProxies, f.serverProxies...) {
		p.SetMode(proxy.Pass)
	}
	for _, p := range f.processes() {
		if p.paused {
			f.pauseOrResume(p)
		}
		select {
		case <-p.exited:
			p.start()
		default:
		}
	}
	// A process that was still handling a stop signal may exit in this time.
	time.Sleep(stopTimeout / 10)
	for _, p := range f.processes() {
		if !p.alive() {
			p.start()
		}
	}
}

// checkRecovery checks that each entry serves plain and streaming requests again.
func (f *fleet) checkRecovery(c *callers) {
	end := time.Now().Add(recoveryTimeout)
	for i := range f.entries {
		for _, prefix := range []string{standin.PrefixNonIdempotent, standin.PrefixStream} {
			for {
				if !f.entries[i].alive() {
					f.entries[i].start()
				}
				if o := c.send(f.entryProxies[i].Address(), prefix, soakKey); o.status == http.StatusOK && o.complete {
					break
				}
				if time.Now().After(end) {
					f.t.Errorf("%s does not serve %s within %v after the last fault", f.entries[i].settings.VM, prefix, recoveryTimeout)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
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
