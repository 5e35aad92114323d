package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

// playForeignEntry sends orders of two services. The disruption: another writer adds an
// entry to the list that has no zone, version, slots and coldRemainingMs. It names a
// server of the second service under the first one.
func playForeignEntry(w *world) (verdict, error) {
	const orders = 200
	if err := w.startPlatform(); err != nil {
		return verdict{}, err
	}
	for i := range 2 {
		if _, err := w.startServer(fmt.Sprint("i-orders-", i+1), "orders", i+1, 5*time.Millisecond); err != nil {
			return verdict{}, err
		}
	}
	letters, err := w.startServer("i-letters-1", "letters", 3, 5*time.Millisecond)
	if err != nil {
		return verdict{}, err
	}
	routes := []route{
		{Name: "confirm", Host: host, PathPrefix: "/confirm/", Kind: "non_idempotent", TimeoutMs: 2500, GoalMs: 150, Priority: 1, Service: "orders", MaxAttempts: 1},
		{Name: "letter", Host: host, PathPrefix: "/letter/", Kind: "idempotent", TimeoutMs: 2500, GoalMs: 150, Priority: 1, Service: "letters", MaxAttempts: 2},
	}
	if err := w.startSystem(3, 1, newManifest(1, routes, "orders", "letters")); err != nil {
		return verdict{}, err
	}
	if w.trouble {
		w.note("another writer adds an entry without zone, version, slots and coldRemainingMs")
		w.platform.add(map[string]any{"id": letters.id, "service": "orders", "address": letters.address(), "state": "ready"})
	}
	time.Sleep(3 * time.Second)
	q := w.newRequester(w.machines(false)[0])
	served := 0
	for range orders {
		a := q.send(request{method: http.MethodPost, path: "/confirm/2f", key: keyFirst, body: []byte("order"), deadline: 2500 * time.Millisecond})
		if a.status == http.StatusOK {
			served++
		}
	}
	foreign := 0
	for _, r := range letters.allRuns() {
		if strings.HasPrefix(r.path, "/confirm/") {
			foreign++
		}
	}
	return verdict{broken: foreign > 0, reason: fmt.Sprintf(
		"%d of %d orders on the route to service orders were run by a server of service letters, to which no manifest sends them; %d orders were answered 200", foreign, orders, served)}, nil
}
