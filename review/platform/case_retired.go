package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// playRetiredModel moves the demand for models on: requests for a third model come to
// servers that hold two. The disruption: before that, a new manifest no longer lists one
// of the two.
func playRetiredModel(w *world) (verdict, error) {
	if err := w.startPlatform(); err != nil {
		return verdict{}, err
	}
	sizes := map[string]float64{"model-a": modelMB, "model-b": modelMB, "model-c": modelMB}
	for i := range 2 {
		if _, err := w.startEngine(fmt.Sprint("i-drafts-", i+1), "drafts", i+1, sizes, "model-a", "model-b"); err != nil {
			return verdict{}, err
		}
	}
	if err := w.startSystem(3, 1, draftsManifest(1, "model-a", "model-b", "model-c")); err != nil {
		return verdict{}, err
	}
	front := w.machines(false)[0]
	stop := make(chan struct{})
	var asking sync.WaitGroup
	asking.Go(func() { askForModel(w, front, "model-b", stop) })
	time.Sleep(6 * time.Second)
	if w.trouble {
		if err := w.putUntilAcknowledged(draftsManifest(2, "model-b", "model-c"), 4*time.Second); err != nil {
			return verdict{}, err
		}
		w.note("manifest version 2, which no longer lists model-a, is acknowledged")
	}
	time.Sleep(3 * time.Second)
	w.note("requesters ask for model-c")
	asking.Go(func() { askForModel(w, front, "model-c", stop) })
	time.Sleep(12 * time.Second)
	close(stop)
	asking.Wait()
	overloaded := 0
	for _, e := range w.engines {
		if why := e.overloaded(); why != "" {
			overloaded++
			w.note("server %s was ordered to load %s", e.id, why)
		}
	}
	return verdict{broken: overloaded > 0, reason: fmt.Sprintf("%d of %d servers were ordered to load more than weightsMb, and crashed", overloaded, len(w.engines))}, nil
}

// askForModel sends a request for a model every 100 ms until stop is closed.
func askForModel(w *world, front *process, model string, stop chan struct{}) {
	q := w.newRequester(front)
	for {
		select {
		case <-stop:
			return
		case <-time.After(100 * time.Millisecond):
		}
		q.send(request{
			method: http.MethodPost, path: "/draft/2f", key: keyFirst, body: []byte("prompt"), deadline: 8 * time.Second,
			header: map[string]string{"Model": model, "Token-Counts": "500,30", "Prompt-Prefix": "5c1e07a2:300,91bd3f06:200"},
		})
	}
}

// draftsManifest returns a manifest with one service of model servers.
func draftsManifest(version int, models ...string) manifest {
	routes := []route{{
		Name: "draft", Host: host, PathPrefix: "/draft/", Kind: "streaming", TimeoutMs: 8000, GoalMs: 600, Priority: 1, Service: "drafts", MaxAttempts: 1, Sticky: true, GapTargetMs: 250,
	}}
	m := newManifest(version, routes, "drafts")
	m.Services[0].MaxConnections = 370
	engine := &engine{
		Slots: engineSlots, KvCacheTokens: 142854, KvTokenBytes: 327680, LinkMbps: 740000, Moves: true, Backups: true, Stride: 3, MaxCount: 12,
		HostMemoryMb: 140000, DiskMb: 400000, PinMs: 4000, HoldMs: 2000, HandleS: 5, WeightsMb: engineMemoryMB, AdapterSlots: 8, LoadsPerS: 1.1,
	}
	for _, name := range models {
		engine.Models = append(engine.Models, model{Name: name, WeightsMb: modelMB, LoadTimeS: modelLoadTime.Seconds(), AdapterMb: 66, WarmS: 0.6, DiskLoadS: 0.78})
	}
	m.Services[0].Engine = engine
	return m
}
