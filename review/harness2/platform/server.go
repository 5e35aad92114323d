package main

import (
	"cmp"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

const (
	serverSlots = 24
	// headerSeal marks what a server that ran a request answers.
	headerSeal = "Response-Seal"
)

// runFunc runs one request and writes the answer.
type runFunc func(s *server, w http.ResponseWriter, r *http.Request)

// server is one server of a plain service.
type server struct {
	world   *world
	id      string
	service string
	host    string
	version string // of its software
	http    *http.Server
	run     runFunc
	slots   chan struct{}
	leaving atomic.Bool // says that it leaves

	mu     sync.Mutex
	listed string // the version that the infrastructure's list shows; empty for the present one
}

// addServer starts a server and adds it to the infrastructure's list.
func (w *world) addServer(id, service string, host int, run runFunc) (*server, error) {
	l, err := net.Listen("tcp", w.address(host)+":0")
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	s := &server{world: w, id: id, service: service, host: l.Addr().String(), version: "v1", run: run, slots: make(chan struct{}, serverSlots)}
	s.serve(l)
	w.list.add(s)
	return s, nil
}

func (s *server) serve(l net.Listener) {
	s.http = &http.Server{Handler: s, IdleTimeout: 15 * time.Second}
	go func() { _ = s.http.Serve(l) }() // it ends with the case, or with a restart
}

// restart starts the server again under its id and at its address, with another version of
// its software. The list shows that after listLag.
func (s *server) restart(version string) error {
	s.world.rec.addf("%s restarts as %s", s.id, version)
	_ = s.http.Close() // ends all channels
	l, err := net.Listen("tcp", s.host)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	s.mu.Lock()
	s.listed, s.version = s.version, version
	s.mu.Unlock()
	s.serve(l)
	time.AfterFunc(listLag, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.listed = ""
		s.world.rec.addf("the list shows %s as %s", s.id, version)
	})
	return nil
}

// softwareVersion returns the version of the server's software.
func (s *server) softwareVersion() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// listLag is lagMs of the settings.
const listLag = 800 * time.Millisecond

func (s *server) entry() map[string]any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return map[string]any{
		"service": s.service, "address": s.host, "zone": "zone-a", "version": cmp.Or(s.listed, s.version), "slots": serverSlots, "state": "ready",
		"coldRemainingMs": 0, "id": s.id,
	}
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case s.slots <- struct{}{}:
		defer func() { <-s.slots }()
	case <-time.After(time.Second):
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.world.rec.addf("%s runs %s %s, deadline %s ms", s.id, id, r.URL.Path, r.Header.Get("Deadline-Ms"))
	w.Header().Set(headerSeal, "seal."+s.id+"."+id)
	w.Header().Set("Server-Load", fmt.Sprintf("%d,0,%d", len(s.slots), serverSlots))
	s.run(s, w, r)
}
