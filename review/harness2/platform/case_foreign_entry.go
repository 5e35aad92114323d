package main

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"
)

const (
	orderService  = "orders"
	letterService = "letters"
	orderPath     = "/orders/"
	// foreignAfter is when the entry of another writer appears in the list, and foreignDay
	// the length of the day, from the start of traffic.
	foreignAfter = 4 * time.Second
	foreignDay   = 24 * time.Second
	// orderInterval is the pause between two orders.
	orderInterval = 100 * time.Millisecond
)

// orderManifest returns a manifest with two more services, and a route for orders, which may
// not be repeated, to one of them.
func orderManifest(version int) manifest {
	m := newManifest(version)
	for _, name := range []string{orderService, letterService} {
		m["services"] = append(m["services"].([]any), map[string]any{"name": name, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false})
	}
	route := func(name, service string) map[string]any {
		return map[string]any{
			"name": name, "host": lookupHost, "pathPrefix": "/" + name + "/", "kind": "non_idempotent", "timeoutMs": lookupTimeout.Milliseconds(), "goalMs": 150, "priority": 1,
			"service": service, "maxAttempts": 1, "public": false, "sticky": false, "resumable": false,
		}
	}
	m["routes"] = append(m["routes"].([]any), route("orders", orderService), route("letters", letterService))
	return m
}

// wrongRuns records the orders that servers of another service ran.
type wrongRuns struct {
	mu  sync.Mutex
	ids []string
}

func (r *wrongRuns) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids = append(r.ids, id)
}

func (r *wrongRuns) list() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.ids)
}

// playForeignEntry adds one entry of another writer to the infrastructure's list, which has
// no `slots` and names a server of one service under another one.
func playForeignEntry(w *world, trouble bool) ([]string, error) {
	var wrong wrongRuns
	var letters *server
	for i := range 3 {
		for j, service := range []string{lookupService, orderService, letterService} {
			run := func(s *server, out http.ResponseWriter, r *http.Request) {
				if s.service == letterService && len(r.URL.Path) > len(orderPath) && r.URL.Path[:len(orderPath)] == orderPath {
					wrong.add(r.Header.Get("Attempt-Id"))
				}
				answerAtOnce(s, out, r)
			}
			s, err := w.addServer(fmt.Sprintf("%s-%d", service, i+1), service, 30+3*i+j, run)
			if err != nil {
				return nil, err
			}
			if service == letterService {
				letters = s
			}
		}
	}
	if err := w.start(5, 3); err != nil {
		return nil, err
	}
	if _, err := w.putUntilAcked(orderManifest(1), 20*time.Second, w.control...); err != nil {
		return nil, err
	}
	if err := w.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	w.rec.notef("traffic starts")
	if trouble {
		time.AfterFunc(foreignAfter, func() { w.list.addForeign(letters, orderService) })
	}
	sent, served := w.sendOrders()
	ids := wrong.list()
	w.rec.notef("%d orders sent, %d answered with success, %d run by a server of service %s", sent, served, len(ids), letterService)
	if len(ids) > 0 {
		return []string{fmt.Sprintf("ROUTE: %d orders were run by a server of service %s, the first is %s", len(ids), letterService, ids[0])}, nil
	}
	return nil, nil
}

// sendOrders sends orders, each on a channel of its own, and returns how many it sent and
// how many were answered with success.
func (w *world) sendOrders() (sent, served int) {
	var open sync.WaitGroup
	var mu sync.Mutex
	for end := time.Now().Add(foreignDay); time.Now().Before(end); sent++ {
		to := w.entries[sent%len(w.entries)]
		open.Go(func() {
			c, err := w.dial(to)
			if err != nil {
				return
			}
			defer c.close()
			if c.send(http.MethodPost, fmt.Sprint(orderPath, sent), keyOf("t1"), lookupTimeout).served() {
				mu.Lock()
				served++
				mu.Unlock()
			}
		})
		time.Sleep(orderInterval)
	}
	open.Wait()
	return sent, served
}

// addForeign adds an entry of another writer: with the id and address of a server, another
// service than the server's, and without slots.
func (p *platformList) addForeign(s *server, service string) {
	entry := s.entry()
	entry["service"] = service
	delete(entry, "slots")
	s.world.rec.notef("the list has another entry: %v", entry)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.foreign = append(p.foreign, entry)
}

// answerAtOnce answers a request.
func answerAtOnce(_ *server, w http.ResponseWriter, _ *http.Request) {
	time.Sleep(15 * time.Millisecond)
	_, _ = io.WriteString(w, "ok\n") // the caller may have left
}
