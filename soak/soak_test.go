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
	// startLimit bounds the time to the first catalog and to readiness.
	startLimit = 20 * time.Second
	// calmLimit is how long after the last fault requests must be served again.
	calmLimit = 12 * time.Second
	// leavingLimit is how long after an endpoint began to leave it may get new
	// requests while nothing is disturbed.
	leavingLimit = 3 * time.Second
)

// Seeds that failed once, each with its cause.
var regressionSeeds = []int{
	1, // a change was acknowledged by two voters, and one of them lost its disk
}

func number(t *testing.T, name string, otherwise int) int {
	text := os.Getenv(name)
	if text == "" {
		return otherwise
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

// The promises hold while processes and connections fail. Without further
// settings one short seed is played, and every seed that ever failed.
func TestSoak(t *testing.T) {
	seconds := number(t, "SOAK_SECONDS", 6)
	first, count := number(t, "SOAK_FIRST", 2), number(t, "SOAK_SEEDS", 1)
	seeds := append([]int(nil), regressionSeeds...)
	for i := range count {
		seeds = append(seeds, first+i)
	}
	for _, seed := range seeds {
		t.Run(strconv.Itoa(seed), func(t *testing.T) { play(t, seed, time.Duration(seconds)*time.Second) })
	}
}

// play runs one seed: start, faults, calm, judgement.
func play(t *testing.T, seed int, length time.Duration) {
	f := newFleet(t, seed)
	firstVersion := f.putFirst()
	f.waitReady(startLimit)
	calls, op := startCallers(f), startOperator(f, firstVersion)
	disturb(f, rand.New(rand.NewPCG(uint64(seed), 7)), length)
	f.checkRecovery(calls)
	f.checkLeaving()
	outcomes := calls.finish()
	acked, broken := op.finish()
	for _, b := range broken {
		t.Error(b)
	}
	f.checkLast(acked)
	served := 0
	for _, o := range outcomes {
		if b := check(f.endpoints, o); b != "" {
			t.Errorf("request %s to %s at %s: %s", o.id, o.prefix, o.sent.Format(time.TimeOnly), b)
		}
		if o.status == http.StatusOK && o.whole {
			served++
		}
	}
	t.Logf("seed %d: %d requests, %d served, catalog %d, %d runs", seed, len(outcomes), served, acked, f.endpoints.Total())
	if t.Failed() {
		f.keepLogs(seed)
	}
}

// putFirst puts the first catalog.
func (f *fleet) putFirst() uint64 {
	op := standin.Operator{HTTP: &http.Client{Timeout: time.Second}}
	for end := time.Now().Add(startLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range f.control {
			if status, err := op.Put(p.settings.IP, standin.Catalog(1, soakKey)); err == nil && status == http.StatusOK {
				return 1
			}
		}
	}
	f.keepLogs(0)
	f.t.Fatal("the first catalog was not acknowledged")
	return 0
}

func (f *fleet) waitReady(limit time.Duration) {
	client := &http.Client{Timeout: time.Second}
	end := time.Now().Add(limit)
	for _, p := range f.entries {
		for !p.ready(client) {
			if time.Now().After(end) {
				f.keepLogs(0)
				f.t.Fatalf("%s is not ready after %v", p.settings.VM, limit)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// disturb plays overlapping series of faults and then takes all of them back.
func disturb(f *fleet, r *rand.Rand, length time.Duration) {
	disks := 1 // how many control VMs may be without their state at a time
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(100+r.IntN(500)) * time.Millisecond) {
		entry, server := r.IntN(entryVMs), r.IntN(len(f.servers))
		switch action := r.IntN(11); action {
		case 0, 1:
			f.toEntries[entry].Set(proxy.Mode(r.IntN(int(proxy.Refuse) + 1)))
		case 2, 3:
			f.toServers[server].Set(proxy.Mode(r.IntN(int(proxy.Refuse) + 1)))
		case 4:
			f.toEntries[entry].Reset()
			f.toServers[server].Reset()
		case 5:
			f.toggle(f.entries[entry], syscall.SIGKILL)
		case 6:
			f.toggle(f.entries[entry], syscall.SIGTERM)
		case 7:
			f.pause(f.entries[entry])
		case 8:
			f.toggle(f.control[r.IntN(controlVMs)], []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[r.IntN(2)])
		case 9:
			f.pause(f.control[r.IntN(controlVMs)])
		case 10:
			if disks > 0 && f.allControlRuns() {
				disks--
				f.wipe(f.control[r.IntN(controlVMs)])
			}
		}
		f.entries[entry].signal(syscall.SIGHUP)
	}
	f.calm()
}

// toggle ends a process by a signal, or starts it if it has ended.
func (f *fleet) toggle(p *process, s syscall.Signal) {
	if !p.alive() {
		p.start()
		return
	}
	if p.paused {
		f.pause(p)
	}
	p.signal(s)
}

// pause freezes a process or lets it go on.
func (f *fleet) pause(p *process) {
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

func (f *fleet) allControlRuns() bool {
	for _, p := range f.control {
		if !p.alive() || p.paused {
			return false
		}
	}
	return true
}

// wipe takes a control VM's folder away while it is down.
func (f *fleet) wipe(p *process) {
	p.kill()
	if err := os.RemoveAll(p.settings.DataDirectory); err != nil {
		f.t.Fatal(err)
	}
	p.start()
}

// calm ends all disturbances and restarts what is down.
func (f *fleet) calm() {
	for _, p := range append(f.toEntries, f.toServers...) {
		p.Set(proxy.Pass)
	}
	for _, p := range f.all() {
		if p.paused {
			f.pause(p)
		}
		select {
		case <-p.exited:
			p.start()
		default:
		}
	}
	// A process that still had to follow a stop signal ends within its grace.
	time.Sleep(stopLimit / 10)
	for _, p := range f.all() {
		if !p.alive() {
			p.start()
		}
	}
}

// checkRecovery expects each entry to serve each kind of request again.
func (f *fleet) checkRecovery(c *callers) {
	end := time.Now().Add(calmLimit)
	for i := range f.entries {
		for _, prefix := range []string{standin.PrefixNonIdempotent, standin.PrefixStream} {
			for {
				if !f.entries[i].alive() {
					f.entries[i].start()
				}
				if o := c.send(f.toEntries[i].Address(), prefix, soakKey); o.status == http.StatusOK && o.whole {
					break
				}
				if time.Now().After(end) {
					f.t.Errorf("%s does not serve %s %v after the last fault", f.entries[i].settings.VM, prefix, calmLimit)
					return
				}
				time.Sleep(100 * time.Millisecond)
			}
		}
	}
}

// checkLeaving expects an endpoint that leaves to get nothing after a while.
func (f *fleet) checkLeaving() {
	if f.t.Failed() {
		return
	}
	e := f.servers[0]
	e.SetLeaving(true)
	time.Sleep(leavingLimit)
	began := time.Now()
	time.Sleep(time.Second)
	if n := f.endpoints.RunsSince(e, began); n > 0 {
		f.t.Errorf("a leaving endpoint got %d new requests %v after it said so", n, leavingLimit)
	}
}

// checkLast expects the newest acknowledged catalog to be read back.
func (f *fleet) checkLast(acked uint64) {
	op := standin.Operator{HTTP: &http.Client{Timeout: time.Second}}
	for end := time.Now().Add(calmLimit); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, p := range f.control {
			status, version, err := op.Get(p.settings.IP)
			if err != nil || status != http.StatusOK {
				continue
			}
			if version < acked {
				f.t.Errorf("version %d is read back, %d was acknowledged", version, acked)
			}
			return
		}
	}
	f.t.Errorf("no catalog is read back %v after the last fault", calmLimit)
}

// keepLogs copies the daemons' logs to where they outlive the test.
func (f *fleet) keepLogs(seed int) {
	dir, err := os.MkdirTemp("", "soak-"+strconv.Itoa(seed)+"-")
	if err != nil {
		f.t.Log(err)
		return
	}
	for _, p := range f.all() {
		data, err := os.ReadFile(p.dir + "/log")
		if err == nil {
			err = os.WriteFile(dir+"/"+p.settings.VM+".log", data, 0o600)
		}
		if err != nil {
			f.t.Log(err)
		}
	}
	f.t.Logf("logs are in %s", dir)
}
