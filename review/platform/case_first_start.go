package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

// playFirstStart starts the system for the first time. The disruption: one of the
// machines whose addresses are the seeds is lost for good right after its start, and an
// empty one comes a second later at another address.

func playFirstStart(w *world) (verdict, error) {
	const (
		coreMachines = 5
		lostAfter    = 150 * time.Millisecond
		replacedIn   = time.Second
		watched      = 60 * time.Second
	)
	if err := w.startPlatform(); err != nil {
		return verdict{}, err
	}
	for i := range 2 {
		if _, err := w.startServer(fmt.Sprint("i-orders-", i+1), "orders", i+1, 5*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	w.addMachines(coreMachines, 1)
	for _, p := range w.processes {
		if err := p.start(); err != nil {
			return verdict{}, err
		}
	}
	if w.trouble {
		time.Sleep(lostAfter)
		lost := w.processes[2]
		_ = lost.cmd.Process.Signal(syscall.SIGKILL)
		<-lost.exited
		w.note("%s is lost for good", lost.name)
		time.Sleep(replacedIn)
		if err := w.replace(2, coreMachines+1); err != nil {
			return verdict{}, err
		}
		w.note("%s comes at another address", w.processes[2].name)
	}
	routes := []route{{Name: "confirm", Host: host, PathPrefix: "/confirm/", Kind: "non_idempotent", TimeoutMs: 2500, GoalMs: 150, Priority: 1, Service: "orders", MaxAttempts: 1}}
	m := newManifest(1, routes, "orders")
	acknowledged := w.putUntilAcknowledged(m, watched) == nil
	q := w.newRequester(w.machines(false)[0])
	sent, served := 0, 0
	for end := time.Now().Add(8 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		sent++
		a := q.send(request{method: http.MethodPost, path: "/confirm/2f", key: keyFirst, body: []byte("order"), deadline: 2500 * time.Millisecond})
		if a.status == http.StatusOK {
			served++
		}
	}
	return verdict{broken: served == 0, reason: fmt.Sprintf("%d of %d requests were served; the manifest was acknowledged within %v: %t", served, sent, watched, acknowledged)}, nil
}
