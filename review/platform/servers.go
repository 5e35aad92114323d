package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// platformList is the infrastructure's list of servers.
type platformList struct {
	listener net.Listener
	mu       sync.Mutex
	entries  []map[string]any
}

// startPlatform starts the list.
func (w *world) startPlatform() error {
	l, err := net.Listen("tcp", w.address(250)+":0")
	if err != nil {
		return err
	}
	w.platform = &platformList{listener: l}
	go func() { _ = http.Serve(l, w.platform) }() // ends with the listener
	return nil
}

func (l *platformList) address() string { return l.listener.Addr().String() }

func (l *platformList) close() { _ = l.listener.Close() }

// add appends an entry to the list.
func (l *platformList) add(entry map[string]any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append(l.entries, entry)
}

// ServeHTTP answers GET /instances.
func (l *platformList) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"instances": l.entries, "nextToken": nil})
}

// serverRun is a request that a server began to work on.
type serverRun struct {
	id, path, tenant string
	at               time.Time
}

// server is a server of a plain service. It processes slots requests at once and
// queues as many again, names itself, echoes the identifier of each request, seals its
// answers and refuses requests for another instance.
type server struct {
	world       *world
	id, service string
	listener    net.Listener
	work        time.Duration
	factor      atomic.Int64 // how many times as long the work takes now
	places      chan struct{}
	// noLength, if set, tells whether the next answer has no length: the close of the
	// channel ends its body.
	noLength func() bool
	// headFirst makes it send the head of an answer before it does the work.
	headFirst bool

	mu      sync.Mutex
	running int
	waiting int
	runs    []serverRun
}

const serverSlots = 6

// startServer starts a server and lists it.
func (w *world) startServer(id, serviceName string, n int, work time.Duration) (*server, error) {
	l, err := net.Listen("tcp", w.address(100+n)+":0")
	if err != nil {
		return nil, err
	}
	s := &server{world: w, id: id, service: serviceName, listener: l, work: work, places: make(chan struct{}, serverSlots)}
	s.factor.Store(1)
	go func() { _ = http.Serve(l, s) }() // ends with the listener
	w.servers = append(w.servers, s)
	w.platform.add(map[string]any{
		"id": id, "service": serviceName, "address": s.address(), "zone": "zone-a", "version": "v1", "slots": serverSlots, "state": "ready", "coldRemainingMs": 0,
	})
	return s, nil
}

func (s *server) address() string { return s.listener.Addr().String() }

func (s *server) close() { _ = s.listener.Close() }

// answerBody returns the body of a server's answer to a request.
func answerBody(id string) []byte {
	return []byte("{\"request\":\"" + id + "\",\"state\":\"booked\"}\n")
}

// seal returns what a server writes into Response-Seal.
func seal(server, id string) string {
	return fmt.Sprintf("%x", sha256.Sum256([]byte(server+"/"+id)))[:16]
}

// ServeHTTP answers one request.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	w.Header().Set("Attempt-Id", id)
	w.Header().Set("Server-Load", s.load())
	_, _ = io.Copy(io.Discard, r.Body)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if !s.enter() {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.leave()
	s.begin(serverRun{id: id, path: r.URL.Path, tenant: r.Header.Get("Tenant"), at: time.Now()})
	w.Header().Set("Response-Seal", seal(s.id, id))
	w.Header().Set("Content-Type", "application/json")
	if s.headFirst {
		w.WriteHeader(http.StatusOK)
		_ = http.NewResponseController(w).Flush() // a broken channel fails the next write
	}
	time.Sleep(time.Duration(s.factor.Load()) * s.work)
	if s.noLength != nil && s.noLength() {
		s.answerWithoutLength(w, id)
		return
	}
	_, _ = w.Write(answerBody(id)) // the channel may be closed
}

// answerWithoutLength sends an answer whose body ends with the channel.
func (s *server) answerWithoutLength(w http.ResponseWriter, id string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Seal: %s\r\nContent-Type: application/json\r\nConnection: close\r\n\r\n%s",
		id, seal(s.id, id), answerBody(id))
}

func (s *server) load() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", s.running, s.waiting, serverSlots)
}

// enter waits for a slot. It returns false if the queue is full.
func (s *server) enter() bool {
	s.mu.Lock()
	if s.waiting >= 4*serverSlots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	s.places <- struct{}{}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.waiting--
	s.running++
	return true
}

func (s *server) leave() {
	s.mu.Lock()
	s.running--
	s.mu.Unlock()
	<-s.places
}

func (s *server) begin(r serverRun) {
	s.mu.Lock()
	s.runs = append(s.runs, r)
	s.mu.Unlock()
	s.world.log("server %s (%s) runs request %s, path %s, tenant %q", s.id, s.service, r.id, r.path, r.tenant)
}

// allRuns returns the runs so far.
func (s *server) allRuns() []serverRun {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]serverRun(nil), s.runs...)
}
