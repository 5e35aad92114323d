package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playSlowServer sends look-ups on kept channels to servers that send the head of an
// answer at once and its body when they have done the work. The disruption: one of seven
// servers takes five times as long, for 6.5 s, and again after a pause.
func playSlowServer(w *world) (verdict, error) {
	const (
		servers    = 7
		requesters = 24
		work       = 140 * time.Millisecond
		slowFactor = 5
		lasting    = 30 * time.Second
	)
	if err := w.startPlatform(); err != nil {
		return verdict{}, err
	}
	for i := range servers {
		s, err := w.startServer(fmt.Sprint("i-orders-", i+1), "orders", i+1, work)
		if err != nil {
			return verdict{}, err
		}
		s.headFirst = true
	}
	routes := []route{{Name: "lookup", Host: host, PathPrefix: "/status/", Kind: "idempotent", TimeoutMs: 2500, GoalMs: 150, Priority: 1, Service: "orders", MaxAttempts: 2}}
	if err := w.startSystem(3, 1, newManifest(1, routes, "orders")); err != nil {
		return verdict{}, err
	}
	front := w.machines(false)[0]
	var mu sync.Mutex
	var kept []answer
	var sending sync.WaitGroup
	for n := range requesters {
		sending.Go(func() {
			q := w.newRequester(front)
			onKept := false
			for i, end := 0, time.Now().Add(lasting); time.Now().Before(end); i++ {
				a := q.send(request{method: http.MethodGet, path: fmt.Sprintf("/status/%d-%d", n, i), key: keyFirst, deadline: 2500 * time.Millisecond})
				if onKept {
					mu.Lock()
					kept = append(kept, a)
					mu.Unlock()
				}
				onKept = a.complete // else the next request opens a new channel
			}
		})
	}
	if w.trouble {
		sending.Go(func() { w.servers[0].slowDown(slowFactor, 3, lasting) })
	}
	sending.Wait()
	return judgeKeptChannels(w, kept, false), nil
}

// slowDown makes the server take factor times as long for 6.5 s, several times, and
// leaves it as it was within the limit.
func (s *server) slowDown(factor, times int, limit time.Duration) {
	const (
		slow  = 6500 * time.Millisecond
		pause = 2 * time.Second
	)
	end := time.Now().Add(limit)
	for i := 0; i < times && time.Now().Add(pause+slow).Before(end); i++ {
		time.Sleep(pause)
		s.world.note("server %s takes %d times as long for %v", s.id, factor, slow)
		s.factor.Store(int64(factor))
		time.Sleep(slow)
		s.factor.Store(1)
	}
}
