package main

import (
	"bytes"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// playResumableLookup sends look-ups on an idempotent route that is marked resumable.
// The disruption: one answer in twenty of one of the two servers has no length and ends
// with its channel.
func playResumableLookup(w *world) (verdict, error) {
	const lookups = 300
	if err := w.startPlatform(); err != nil {
		return verdict{}, err
	}
	var answers, without atomic.Int64
	for i := range 2 {
		s, err := w.startServer(fmt.Sprint("i-orders-", i+1), "orders", i+1, 5*time.Millisecond)
		if err != nil {
			return verdict{}, err
		}
		if !w.trouble || i > 0 {
			continue
		}
		s.noLength = func() bool {
			if answers.Add(1)%20 != 0 {
				return false
			}
			without.Add(1)
			return true
		}
	}
	lookup := route{
		Name: "lookup", Host: host, PathPrefix: "/status/", Kind: "idempotent", TimeoutMs: 2500, GoalMs: 150, Priority: 1, Service: "orders", MaxAttempts: 2, Resumable: true,
	}
	if err := w.startSystem(3, 1, newManifest(1, []route{lookup}, "orders")); err != nil {
		return verdict{}, err
	}
	q := w.newRequester(w.machines(false)[0])
	wrong, successes := 0, 0
	for range lookups {
		a := q.send(request{method: http.MethodGet, path: "/status/2f", key: keyFirst, deadline: 2500 * time.Millisecond})
		if a.status < 200 || a.status > 299 || !a.complete {
			continue
		}
		successes++
		if !bytes.Equal(a.body, answerBody(a.id)) {
			wrong++
			w.log("request %s: success with seal %q and body %q, but the server's whole body is %q", a.id, a.seal, a.body, answerBody(a.id))
		}
	}
	return verdict{broken: wrong > 0, reason: fmt.Sprintf("%d of %d successes have a body that is not the server's whole body; %d answers had no length", wrong, successes, without.Load())}, nil
}
