// Package service is a stand-in for a plain service. It counts what it runs by
// idempotency key, answers with what it was sent, and shows faults on demand.
package service

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/protocol/enginejson"
	"github.com/radishloom/radishloom/internal/standin/listen"
)

const (
	maxBodyBytes = 64 << 20
	// maxSeen bounds the requests that are kept for inspection.
	maxSeen = 1000
)

// Faults are what the service does wrong. The zero value is a sound service.
type Faults struct {
	// Mark limits the faults to requests whose path, query or body holds this
	// text.
	Mark string `json:"mark,omitempty"`
	// Times limits the faults to so many requests; zero is no limit.
	Times int `json:"times,omitempty"`
	// Refuse answers "not run".
	Refuse bool `json:"refuse,omitempty"`
	// Ignore never answers and does not run.
	Ignore bool `json:"ignore,omitempty"`
	// Delay holds the answer back after the run.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseAnswer runs and closes the connection without an answer.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// CutBody closes the connection after so many bytes of the answer.
	CutBody int `json:"cut_body,omitempty"`
	// WrongID answers with another identifier.
	WrongID bool `json:"wrong_id,omitempty"`
	// Crash kills the service after the run.
	Crash bool `json:"crash,omitempty"`
	// Chunked sends the answer without a length.
	Chunked bool `json:"chunked,omitempty"`
	// Status is the status of the answer; zero is 200.
	Status int `json:"status,omitempty"`
}

// Seen is one request as it arrived.
type Seen struct {
	Method     string      `json:"method"`
	Target     string      `json:"target"`
	Header     http.Header `json:"header"`
	BodySHA256 string      `json:"body_sha256"`
	BodyBytes  int         `json:"body_bytes"`
	// Run counts the executions under the request's idempotency key.
	Run int `json:"run"`
	// Body is kept for tests only.
	Body []byte `json:"-"`
}

// Config describes one service.
type Config struct {
	// Slots is reported as capacity.
	Slots int
	// RestartAfter is how long a crashed service stays away; zero is for good.
	RestartAfter time.Duration
}

// Service is one stand-in. It is safe for concurrent use.
type Service struct {
	config Config
	server *listen.Server

	mu      sync.Mutex
	faults  Faults
	byID    map[string]int
	byKey   map[string]int
	runs    int
	running int
	seen    []Seen
}

// Start runs a service at an address such as 127.0.0.1:0.
func Start(address string, c Config) (*Service, error) {
	s := &Service{config: c, byID: make(map[string]int), byKey: make(map[string]int)}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/load", s.serveLoad)
	mux.HandleFunc("GET /admin/state", s.serveState)
	mux.HandleFunc("PUT /admin/faults", s.serveFaults)
	mux.HandleFunc("/", s.serve)
	server, err := listen.Start(address, mux)
	if err != nil {
		return nil, err
	}
	s.server = server
	return s, nil
}

// Addr returns the address with the real port.
func (s *Service) Addr() string { return s.server.Addr() }

// Connections counts the connections accepted so far.
func (s *Service) Connections() int { return s.server.Accepted() }

// Close ends the service.
func (s *Service) Close() { s.server.Close() }

// SilenceOpenConnections makes the open connections silent for good.
func (s *Service) SilenceOpenConnections() { s.server.SilenceOpen() }

// SilenceNewConnections accepts new connections without answering on them.
func (s *Service) SilenceNewConnections(on bool) { s.server.SilenceNew(on) }

// SetFaults replaces the faults.
func (s *Service) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Runs returns how often a request with this identifier was executed.
func (s *Service) Runs(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byID[id]
}

// RunsByKey returns how often a request with this idempotency key was executed.
func (s *Service) RunsByKey(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.byKey[key]
}

// Requests returns the last requests.
func (s *Service) Requests() []Seen {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Seen(nil), s.seen...)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	f := s.take(r, body)
	id := r.Header.Get(exchange.HeaderRequestID)
	if f.WrongID {
		id = "other-" + id
	}
	if id != "" {
		w.Header().Set(exchange.HeaderRequestID, id)
	}
	switch {
	case f.Refuse:
		w.Header().Set(exchange.HeaderRunState, exchange.RunStateNotRun)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	case f.Ignore:
		<-r.Context().Done()
		return
	}
	seen := s.execute(r, body)
	s.answer(w, seen, f)
}

// execute counts one run.
func (s *Service) execute(r *http.Request, body []byte) Seen {
	sum := sha256.Sum256(body)
	seen := Seen{
		Method: r.Method, Target: r.RequestURI, Header: r.Header.Clone(),
		BodySHA256: hex.EncodeToString(sum[:]), BodyBytes: len(body), Body: body,
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs++
	s.byID[r.Header.Get(exchange.HeaderRequestID)]++
	if key := r.Header.Get(exchange.HeaderIdempotencyKey); key != "" {
		s.byKey[key]++
		seen.Run = s.byKey[key]
	}
	if len(s.seen) == maxSeen {
		s.seen = s.seen[1:]
	}
	s.seen = append(s.seen, seen)
	return seen
}

func (s *Service) answer(w http.ResponseWriter, seen Seen, f Faults) {
	s.load(1)
	defer s.load(-1)
	time.Sleep(f.Delay)
	if f.Crash {
		s.server.Crash(s.config.RestartAfter)
	}
	if f.LoseAnswer || f.Crash {
		panic(http.ErrAbortHandler)
	}
	out, err := json.Marshal(seen)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	if !f.Chunked {
		w.Header().Set("Content-Length", strconv.Itoa(len(out)))
	}
	w.WriteHeader(max(f.Status, http.StatusOK))
	if f.CutBody > 0 {
		_, _ = w.Write(out[:min(f.CutBody, len(out)-1)])
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
	if f.Chunked {
		_ = http.NewResponseController(w).Flush()
	}
	_, _ = w.Write(out)
}

func (s *Service) load(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
}

// take returns the faults that apply to a request.
func (s *Service) take(r *http.Request, body []byte) Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.faults
	if f.Mark != "" && !strings.Contains(r.RequestURI+string(body), f.Mark) {
		return Faults{}
	}
	if f.Times > 0 {
		if s.faults.Times--; s.faults.Times == 0 {
			s.faults = Faults{}
		}
	}
	return f
}

func (s *Service) serveLoad(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	doc := enginejson.LoadReport{Running: s.running, Slots: s.config.Slots}
	s.mu.Unlock()
	writeJSON(w, doc)
}

// State is what the admin path shows.
type State struct {
	Faults    Faults         `json:"faults"`
	Runs      int            `json:"runs"`
	RunsByKey map[string]int `json:"runs_by_key"`
	Seen      []Seen         `json:"seen"`
}

func (s *Service) serveState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	doc := State{Faults: s.faults, Runs: s.runs, RunsByKey: map[string]int{}}
	for key, n := range s.byKey {
		doc.RunsByKey[key] = n
	}
	doc.Seen = append(doc.Seen, s.seen[max(0, len(s.seen)-20):]...)
	s.mu.Unlock()
	writeJSON(w, doc)
}

func (s *Service) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		http.Error(w, "malformed faults", http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		http.Error(w, "internal", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
