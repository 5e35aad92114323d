package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

// playSlowLogReader moves a route to another service while a tenant sends more than its
// allowance. The disruption: the reader of a front machine's standard output stops
// reading for a while.
func playSlowLogReader(w *world) (verdict, error) {
	const (
		applyTime = 2 * time.Second // configApplyMs
		watched   = 4 * time.Second
		allowance = 4000 // tokens a second: twenty requests of 200 tokens
	)
	if err := w.startPlatform(); err != nil {
		return verdict{}, err
	}
	before, err := w.startServer("i-before-1", "before", 1, 5*time.Millisecond)
	if err != nil {
		return verdict{}, err
	}
	if _, err := w.startServer("i-after-1", "after", 2, 5*time.Millisecond); err != nil {
		return verdict{}, err
	}
	moved := func(to string) []route {
		return []route{
			{Name: "busy", Host: host, PathPrefix: "/busy/", Kind: "idempotent", TimeoutMs: 2500, GoalMs: 150, Priority: 1, Service: "after", MaxAttempts: 1},
			{Name: "moved", Host: host, PathPrefix: "/moved/", Kind: "idempotent", TimeoutMs: 2500, GoalMs: 150, Priority: 1, Service: to, MaxAttempts: 1, Public: true},
		}
	}
	first := newManifest(1, moved("before"), "before", "after")
	first.Tenants[0].RatePerS, first.Tenants[0].Burst = allowance, allowance
	reader, err := w.pipeOutputOfFirstFront()
	if err != nil {
		return verdict{}, err
	}
	defer reader.stop()
	if err := w.startSystem(3, 1, first); err != nil {
		return verdict{}, err
	}
	front := w.machines(false)[0]
	stop := make(chan struct{})
	var sending sync.WaitGroup
	for range 2 {
		sending.Go(func() { pressBeyondAllowance(w, front, stop) })
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		w.note("the reader of the standard output of %s stops reading", front.name)
		reader.paused.Store(true)
	}
	time.Sleep(12 * time.Second)
	second := newManifest(2, moved("after"), "before", "after")
	second.Tenants[0].RatePerS, second.Tenants[0].Burst = allowance, allowance
	if err := w.putUntilAcknowledged(second, 4*time.Second); err != nil {
		return verdict{}, err
	}
	ackAt := time.Now()
	w.note("manifest version 2, which moves the route, is acknowledged")
	time.Sleep(applyTime + 200*time.Millisecond)
	sent, stale := map[string]bool{}, 0
	q := w.newRequester(front)
	for time.Since(ackAt) < applyTime+watched {
		a := q.send(request{method: http.MethodGet, path: "/moved/2f", key: keyFirst, deadline: 2500 * time.Millisecond})
		sent[a.id] = true
		time.Sleep(50 * time.Millisecond)
	}
	for _, r := range before.allRuns() {
		if sent[r.id] {
			stale++
		}
	}
	reader.paused.Store(false)
	close(stop)
	sending.Wait()
	return verdict{broken: stale > 0, reason: fmt.Sprintf(
		"%d of %d requests that were sent later than %v after the acknowledgement were run by the service of the older version", stale, len(sent), applyTime)}, nil
}

// pressBeyondAllowance sends requests one after the other until stop is closed.
func pressBeyondAllowance(w *world, front *process, stop chan struct{}) {
	q := w.newRequester(front)
	for {
		select {
		case <-stop:
			return
		case <-time.After(20 * time.Millisecond):
		}
		q.send(request{method: http.MethodGet, path: "/busy/2f", key: keyFirst, deadline: 2500 * time.Millisecond})
	}
}

// outputReader reads the standard output of a daemon, unless it is paused.
type outputReader struct {
	paused  atomic.Bool
	read    atomic.Int64
	in, out *os.File
}

// pipeOutputOfFirstFront makes the first front machine write to a pipe. It must be
// called before the system is started.
func (w *world) pipeOutputOfFirstFront() (*outputReader, error) {
	in, out, err := os.Pipe()
	if err != nil {
		return nil, err
	}
	r := &outputReader{in: in, out: out}
	w.frontOutput = out
	go func() {
		buf := make([]byte, 4096)
		for {
			if r.paused.Load() {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			n, err := in.Read(buf)
			if err != nil {
				return
			}
			r.read.Add(int64(n))
		}
	}()
	return r, nil
}

func (r *outputReader) stop() {
	r.paused.Store(false)
	_ = r.out.Close()
	_ = r.in.Close()
}
