package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	standin "github.com/radishloom/radishloom/internal/standin/engine"
)

// cost is the resource usage of the control role during a measurement.
type cost struct {
	bytesPerSecond                 float64 // TCP payload in both directions
	leaderPercent, followerPercent float64 // percent of one core; mean over the followers
	leaderResidentBytes            uint64  // resident memory
}

// measureCost measures the cost over a period in which step, if not nil, runs once
// per second.
func (f *fleet) measureCost(traffic *byteCounter, over time.Duration, step func(i int) error) (cost, error) {
	leader, err := f.leader()
	if err != nil {
		return cost{}, err
	}
	before := make(map[*vm]usage)
	for _, v := range f.vms {
		if before[v], err = v.usage(); err != nil {
			return cost{}, err
		}
	}
	bytes := traffic.sent.Load() + traffic.received.Load()
	started := time.Now()
	for i := range int(over / time.Second) {
		if step != nil {
			if err := step(i); err != nil {
				return cost{}, err
			}
		}
		time.Sleep(time.Until(started.Add(time.Duration(i+1) * time.Second)))
	}
	seconds := time.Since(started).Seconds()
	c := cost{bytesPerSecond: float64(traffic.sent.Load()+traffic.received.Load()-bytes) / seconds}
	for _, v := range f.vms {
		after, err := v.usage()
		if err != nil {
			return cost{}, err
		}
		share := 100 * (after.processor - before[v].processor).Seconds() / seconds
		if v == leader {
			c.leaderPercent, c.leaderResidentBytes = share, after.resident
			continue
		}
		c.followerPercent += share / float64(len(f.vms)-1)
	}
	return c, nil
}

// versionWatch records the configuration version in force at each entry.
type versionWatch struct {
	mu       sync.Mutex
	changed  *sync.Cond
	versions []uint64
}

func newVersionWatch(n int) *versionWatch {
	w := &versionWatch{versions: make([]uint64, n)}
	w.changed = sync.NewCond(&w.mu)
	return w
}

func (w *versionWatch) set(i int, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions[i] = version
	w.changed.Broadcast()
}

// wait blocks until every entry has at least the given version in force.
func (w *versionWatch) wait(version uint64) error {
	late := time.AfterFunc(startTimeout, w.changed.Broadcast)
	defer late.Stop()
	end := time.Now().Add(startTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		behind := 0
		for _, v := range w.versions {
			if v < version {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("timed out: %d entries do not have configuration version %d", behind, version)
		}
		w.changed.Wait()
	}
}

// measureDaemon measures a daemon that runs as an entry without the control role,
// with engines that report their load.
func measureDaemon(o options) error {
	fmt.Println("\n| models, engines | entry daemon, idle: core | memory |")
	fmt.Println("|---|---|---|")
	for _, size := range [][2]int{{20, 12}, {100, 200}, {470, 890}} {
		if err := measureDaemonWith(o, size[0], size[1]); err != nil {
			return err
		}
	}
	return nil
}

func measureDaemonWith(o options, models, engines int) error {
	f, err := startFleet(o.Daemon, 3)
	if err != nil {
		return err
	}
	defer f.stop()
	d := document(models, engines)
	for _, e := range d.GetEndpoints() {
		s, err := standin.Start("127.0.0.1:0", standin.Config{MemoryMB: 100_000, Slots: 8, Models: []standin.Model{{Name: "model-0", MemoryMB: 1000, Version: "1"}}, Resident: []string{"model-0"}})
		if err != nil {
			return err
		}
		defer s.Close()
		e.Address = s.Addr()
	}
	if err := f.configure("setup", d); err != nil {
		return err
	}
	v, err := newVM("entry", false)
	if err != nil {
		return err
	}
	f.vms = append(f.vms, v)
	if err := f.start(v); err != nil {
		return err
	}
	if err := waitReady(v); err != nil {
		return err
	}
	time.Sleep(3 * time.Second)
	before, err := v.usage()
	if err != nil {
		return err
	}
	time.Sleep(o.Idle)
	after, err := v.usage()
	if err != nil {
		return err
	}
	fmt.Printf("| %d, %d | %.2f%% | %.0f MB |\n", models, engines, 100*(after.processor-before.processor).Seconds()/o.Idle.Seconds(), float64(after.resident)/1e6)
	return nil
}

func waitReady(v *vm) error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+v.callerAddress+"/readyz", nil)
		if err != nil {
			return err
		}
		resp, err := http.DefaultClient.Do(r)
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("VM %s did not become ready within 30 s", v.name)
}
