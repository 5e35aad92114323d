package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Ports of the daemons, the same on every machine.
type ports struct{ peer, front, ready, control int }

// world is the deployment of one case.
type world struct {
	rec     *record
	daemon  string
	dir     string
	prefix  string // of all addresses, without the last octet
	ports   ports
	control []*machine
	entries []*machine
	list    *platformList
	client  *http.Client // of the operator
	nextID  int
	idMu    sync.Mutex
	idBase  uint32
}

func newWorld(rec *record, daemon string) (*world, error) {
	path, err := filepath.Abs(daemon)
	if err != nil {
		return nil, err
	}
	if _, err := os.Stat(path); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	dir, err := os.MkdirTemp("", "review2-")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	w := &world{rec: rec, daemon: path, dir: dir, client: &http.Client{Timeout: time.Second}, idBase: rand.Uint32()}
	w.client.Transport = &http.Transport{DisableKeepAlives: true}
	if err := w.pickAddresses(); err != nil {
		return nil, err
	}
	w.list, err = newPlatformList(w.address(250) + ":0")
	return w, err
}

// pickAddresses looks for a loopback network and ports on it that are free.
func (w *world) pickAddresses() error {
	for range 50 {
		w.prefix = fmt.Sprintf("127.%d.%d.", 100+rand.IntN(100), 1+rand.IntN(250))
		base := 20000 + rand.IntN(10000)
		w.ports = ports{peer: base, front: base + 20, ready: base + 21, control: base + 22}
		free := true
		for host := 1; host <= 20 && free; host++ {
			free = isFree(w.address(host), w.ports.peer, w.ports.peer+1, w.ports.front, w.ports.ready, w.ports.control)
		}
		if free {
			return nil
		}
	}
	return fmt.Errorf("%w: no free loopback addresses", errNotRun)
}

func isFree(ip string, list ...int) bool {
	for _, port := range list {
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			return false
		}
		_ = l.Close() // it only was a test
	}
	return true
}

func (w *world) address(host int) string { return fmt.Sprint(w.prefix, host) }

// start starts control machines and entries. The first ones are the seeds.
func (w *world) start(control, entries int) error {
	var seeds []string
	for i := range min(3, control) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", w.address(1+i), w.ports.control))
	}
	for i := range control {
		w.control = append(w.control, w.newMachine("core", i, 1+i, seeds))
	}
	for i := range entries {
		w.entries = append(w.entries, w.newMachine("front", i, 1+control+i, seeds))
	}
	for i, m := range w.machines() {
		if err := m.start(); err != nil {
			return fmt.Errorf("%w: %w", errNotRun, err)
		}
		if i < control-1 {
			time.Sleep(startSpread / time.Duration(control))
		}
	}
	return nil
}

// startSpread is the time within which the machines start, below the 0.3 s that the pages
// allow.
const startSpread = 280 * time.Millisecond

// newMachine returns a machine of a class that takes part in the first start.
func (w *world) newMachine(class string, number, host int, seeds []string) *machine {
	return &machine{
		world: w, name: fmt.Sprintf("%s-%d", class, number+1), ip: w.address(host), zone: fmt.Sprintf("zone-%c", 'a'+number%3),
		control: class == "core", seeds: seeds, bootstrap: true,
	}
}

func (w *world) machines() []*machine {
	return append(append([]*machine(nil), w.control...), w.entries...)
}

// close ends all processes and removes their files.
func (w *world) close() {
	for _, m := range w.machines() {
		m.kill()
	}
	w.list.close()
	_ = os.RemoveAll(w.dir) // in the temporary folder of the machine
}

// attemptID returns the identifier of a requester attempt.
func (w *world) attemptID() string {
	w.idMu.Lock()
	defer w.idMu.Unlock()
	w.nextID++
	return fmt.Sprintf("%08x%08x", w.idBase, w.nextID)
}

// contactTime is longer than contactMs: machines are in touch when they have run that long
// without a disruption.
const contactTime = 4 * time.Second

// waitReady waits until all entries say that they are ready.
func (w *world) waitReady(timeout time.Duration) error {
	return waitFor(timeout, "all entries are ready", func() bool {
		for _, m := range w.entries {
			if !m.ready() {
				return false
			}
		}
		return true
	})
}

func waitFor(timeout time.Duration, what string, done func() bool) error {
	end := time.Now().Add(timeout)
	for !done() {
		if time.Now().After(end) {
			return fmt.Errorf("%w: not within %v: %s", errNotRun, timeout, what)
		}
		time.Sleep(20 * time.Millisecond)
	}
	return nil
}
