package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	standin "github.com/radishloom/radishloom/internal/standin/engine"
)

// cost is what control cost over a time.
type cost struct {
	bytes            float64 // a second, both directions, payload of TCP
	leader, follower float64 // per cent of a core; follower is the mean
	memory           uint64  // resident bytes of the leader
}

// cost measures over a time, in which step runs once a second.
func (f *fleet) cost(traffic *counter, over time.Duration, step func(i int) error) (cost, error) {
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
	c := cost{bytes: float64(traffic.sent.Load()+traffic.received.Load()-bytes) / seconds}
	for _, v := range f.vms {
		after, err := v.usage()
		if err != nil {
			return cost{}, err
		}
		share := 100 * (after.processor - before[v].processor).Seconds() / seconds
		if v == leader {
			c.leader, c.memory = share, after.resident
			continue
		}
		c.follower += share / float64(len(f.vms)-1)
	}
	return c, nil
}

// watch knows which version each entry has in force.
type watch struct {
	mu      sync.Mutex
	changed *sync.Cond
	version []uint64
}

func newWatch(n int) *watch {
	w := &watch{version: make([]uint64, n)}
	w.changed = sync.NewCond(&w.mu)
	return w
}

func (w *watch) set(i int, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.version[i] = version
	w.changed.Broadcast()
}

// wait returns when every entry has a version in force.
func (w *watch) wait(version uint64) error {
	late := time.AfterFunc(startPatience, w.changed.Broadcast)
	defer late.Stop()
	end := time.Now().Add(startPatience)
	w.mu.Lock()
	defer w.mu.Unlock()
	for {
		behind := 0
		for _, v := range w.version {
			if v < version {
				behind++
			}
		}
		if behind == 0 {
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("%d entries do not have version %d", behind, version)
		}
		w.changed.Wait()
	}
}

// measureDaemon measures a daemon that is only an entry, before engines that
// report their load.
func measureDaemon(o options) error {
	fmt.Println("\n| models, engines | entry daemon, idle: core | memory |")
	fmt.Println("|---|---|---|")
	for _, size := range [][2]int{{20, 12}, {100, 200}, {470, 890}} {
		if err := daemonOf(o, size[0], size[1]); err != nil {
			return err
		}
	}
	return nil
}

func daemonOf(o options, models, engines int) error {
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
	for end := time.Now().Add(startPatience); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+v.caller+"/readyz", nil)
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
	return fmt.Errorf("VM %s did not become ready", v.name)
}
