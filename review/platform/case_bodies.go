package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// playLargeBodies sends small requests on kept channels. The disruption: many requesters
// come at once, each with a body of the size that the manifest allows. The platform
// kills a process that uses more than the memory of its machine.
func playLargeBodies(w *world) (verdict, error) {
	const (
		smallRequesters = 10
		largeRequesters = 60
		work            = time.Second
		deadline        = 10 * time.Second
	)
	if err := w.startPlatform(); err != nil {
		return verdict{}, err
	}
	for i := range 4 {
		if _, err := w.startServer(fmt.Sprint("i-orders-", i+1), "orders", i+1, work); err != nil {
			return verdict{}, err
		}
	}
	routes := []route{{Name: "confirm", Host: host, PathPrefix: "/confirm/", Kind: "non_idempotent", TimeoutMs: 15000, GoalMs: 1500, Priority: 1, Service: "orders", MaxAttempts: 1}}
	if err := w.startSystem(3, 1, newManifest(1, routes, "orders")); err != nil {
		return verdict{}, err
	}
	front := w.machines(false)[0]
	stop := make(chan struct{})
	var killed atomic.Int64
	var watching, sending sync.WaitGroup
	watching.Go(func() { killed.Store(int64(front.enforceMemory(frontMemoryMB, stop))) })
	var mu sync.Mutex
	var kept []answer // of requests on channels that had carried one before
	for range smallRequesters {
		sending.Go(func() {
			q := w.newRequester(front)
			for i, end := 0, time.Now().Add(9*time.Second); time.Now().Before(end); i++ {
				a := q.send(request{method: http.MethodPost, path: "/confirm/small", key: keyFirst, body: []byte("order"), deadline: deadline})
				if i == 0 {
					continue
				}
				mu.Lock()
				kept = append(kept, a)
				mu.Unlock()
				if a.status == 0 {
					return
				}
			}
		})
	}
	time.Sleep(3500 * time.Millisecond)
	if w.trouble {
		w.note("%d requesters come at once with bodies of %d bytes", largeRequesters, maxBodyBytes)
		body := bytes.Repeat([]byte("x"), maxBodyBytes)
		for range largeRequesters {
			sending.Go(func() {
				w.newRequester(front).send(request{method: http.MethodPost, path: "/confirm/large", key: keyFirst, body: body, deadline: deadline})
			})
		}
	}
	sending.Wait()
	close(stop)
	watching.Wait()
	return judgeKeptChannels(w, kept, killed.Load() > 0), nil
}

// enforceMemory kills the daemon when it uses more memory than its machine has, as the
// platform does, until stop is closed. It returns the memory in use at the kill, in MB,
// or zero.
func (p *process) enforceMemory(limitMB int, stop chan struct{}) int {
	most := 0
	defer func() { p.world.note("%s used %d MB at most, of %d MB", p.name, most, limitMB) }()
	for {
		select {
		case <-stop:
			return 0
		case <-time.After(10 * time.Millisecond):
		}
		used := p.memoryMB()
		most = max(most, used)
		if used > limitMB {
			p.world.note("%s uses %d MB, more than the %d MB of its machine: the platform kills it", p.name, used, limitMB)
			p.end()
			return used
		}
	}
}

// lostAtMost is how many requests from kept channels may be lost at a machine.
const lostAtMost = 3

// judgeKeptChannels counts the requests from kept channels that were passed on to a
// server and whose channel was closed without an answer.
func judgeKeptChannels(w *world, kept []answer, killed bool) verdict {
	passedOn := map[string]bool{}
	for _, s := range w.servers {
		for _, r := range s.allRuns() {
			passedOn[r.id] = true
		}
	}
	lost := 0
	for _, a := range kept {
		if a.status == 0 && passedOn[a.id] {
			lost++
		}
	}
	reason := fmt.Sprintf("%d of %d requests from kept channels were passed on to a sound server and lost their channel without an answer, %d may", lost, len(kept), lostAtMost)
	if killed {
		reason += "; the machine was killed for its memory"
	}
	return verdict{broken: lost > lostAtMost, reason: reason}
}
