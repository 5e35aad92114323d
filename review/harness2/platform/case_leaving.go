package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	boardService = "board"
	boardPath    = "/board/"
	// leavingAfter is when the first server begins to leave, leavingTime how long each one
	// says so before it restarts, and leavingGap the pause before the next one.
	leavingAfter = time.Second
	leavingTime  = 1500 * time.Millisecond
	leavingGap   = time.Second
	// leavingDay is the length of the day, from the start of traffic.
	leavingDay = 62 * time.Second
	// lookupInterval and boardInterval are the pauses between two requests of a kind.
	lookupInterval = 100 * time.Millisecond
	boardInterval  = 50 * time.Millisecond
	// starvedShare is the least share of its requests that a kind is served, against that
	// of all requests.
	starvedShare = 0.25
)

// tally counts the requests of a kind.
type tally struct{ asked, served atomic.Int64 }

func (t *tally) share() float64 { return float64(t.served.Load()) / float64(t.asked.Load()) }

// boardManifest returns a manifest with a second service and its route.
func boardManifest(version int) manifest {
	m := newManifest(version)
	m["routes"] = append(m["routes"].([]any), map[string]any{
		"name": "board", "host": lookupHost, "pathPrefix": boardPath, "kind": "idempotent", "timeoutMs": lookupTimeout.Milliseconds(), "goalMs": 150, "priority": 1,
		"service": boardService, "maxAttempts": 2, "public": false, "sticky": false, "resumable": false,
	})
	m["services"] = append(m["services"].([]any), map[string]any{"name": boardService, "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false})
	return m
}

// playLeaving restarts the servers of one of two services one after the other, under their
// ids and at their addresses. Each says in its answers that it leaves before that.
func playLeaving(w *world, trouble bool) ([]string, error) {
	var servers []*server
	for i := range 3 {
		s, err := w.addServer(fmt.Sprint("s-", i+1), lookupService, 30+i, answerLeaving)
		if err != nil {
			return nil, err
		}
		servers = append(servers, s)
		if _, err := w.addServer(fmt.Sprint("b-", i+1), boardService, 40+i, answerAtOnce); err != nil {
			return nil, err
		}
	}
	if err := w.start(5, 3); err != nil {
		return nil, err
	}
	if _, err := w.putUntilAcked(boardManifest(1), 20*time.Second, w.control...); err != nil {
		return nil, err
	}
	if err := w.waitReady(20 * time.Second); err != nil {
		return nil, err
	}
	time.Sleep(contactTime)
	w.rec.notef("traffic starts")
	if trouble {
		time.AfterFunc(leavingAfter, func() { restartInTurn(servers) })
	}
	kinds := map[string]*tally{"/status/": {}, boardPath: {}}
	var requesters sync.WaitGroup
	end := time.Now().Add(leavingDay)
	requesters.Go(func() { w.ask("/status/", lookupInterval, kinds["/status/"], end) })
	requesters.Go(func() { w.ask(boardPath, boardInterval, kinds[boardPath], end) })
	requesters.Wait()
	return starved(w, kinds), nil
}

// restartInTurn restarts servers that leave.
func restartInTurn(servers []*server) {
	for _, s := range servers {
		s.leaving.Store(true)
		s.world.rec.notef("%s says that it leaves", s.id)
		time.Sleep(leavingTime)
		if err := s.restart(s.softwareVersion()); err != nil {
			s.world.rec.notef("%v", err)
		}
		s.leaving.Store(false)
		s.world.rec.notef("%s has started again", s.id)
		time.Sleep(leavingGap)
	}
}

// answerLeaving answers a lookup, and says so if the server leaves.
func answerLeaving(s *server, w http.ResponseWriter, r *http.Request) {
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	answerAtOnce(s, w, r)
}

// ask sends the requests of a kind until end, each on a channel of its own.
func (w *world) ask(prefix string, interval time.Duration, t *tally, end time.Time) {
	var open sync.WaitGroup
	for n := 0; time.Now().Before(end); n++ {
		t.asked.Add(1)
		open.Go(func() {
			c, err := w.dial(w.entries[n%len(w.entries)])
			if err != nil {
				return
			}
			defer c.close()
			if c.send(http.MethodGet, fmt.Sprint(prefix, n), keyOf("t1"), lookupTimeout).served() {
				t.served.Add(1)
			}
		})
		time.Sleep(interval)
	}
	open.Wait()
}

// starved applies the rule on kinds of request that are served less than a quarter as
// often as all.
func starved(w *world, kinds map[string]*tally) (broken []string) {
	var all tally
	for prefix, t := range kinds {
		all.asked.Add(t.asked.Load())
		all.served.Add(t.served.Load())
		w.rec.notef("%s: %d of %d served", prefix, t.served.Load(), t.asked.Load())
	}
	for prefix, t := range kinds {
		if t.share() < starvedShare*all.share() {
			broken = append(broken, fmt.Sprintf("Starved: requests of kind %s are served %.1f%%, all requests %.1f%%", prefix, 100*t.share(), 100*all.share()))
		}
	}
	return broken
}
