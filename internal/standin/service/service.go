// Package service is a stand-in for a plain HTTP service. It counts executions by
// idempotency key, responds with a description of the request, and injects
// faults on demand.
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
	// maxRecorded bounds the requests kept for inspection.
	maxRecorded = 1000
)

// Faults selects the faults to inject. The zero value injects none.
type Faults struct {
	// Mark limits the faults to requests whose path, query or body contains this
	// text.
	Mark string `json:"mark,omitempty"`
	// Times is the number of requests that the faults apply to; zero is no limit.
	Times int `json:"times,omitempty"`
	// Refuse refuses the request as "not run".
	Refuse bool `json:"refuse,omitempty"`
	// Ignore does not run the request and never responds.
	Ignore bool `json:"ignore,omitempty"`
	// Delay delays the response after the run.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseAnswer runs the request and closes the connection without a response.
	LoseAnswer bool `json:"lose_answer,omitempty"`
	// CutBody closes the connection after this many bytes of the response body.
	CutBody int `json:"cut_body,omitempty"`
	// WrongID responds with the identifier of another request.
	WrongID bool `json:"wrong_id,omitempty"`
	// Crash crashes the service after the run.
	Crash bool `json:"crash,omitempty"`
	// Chunked sends the response in chunks, without Content-Length.
	Chunked bool `json:"chunked,omitempty"`
	// Status is the status of the response; zero, and any value below 200, is 200.
	Status int `json:"status,omitempty"`
}

// RecordedRequest describes a request that was executed.
type RecordedRequest struct {
	Method     string      `json:"method"`
	Target     string      `json:"target"`
	Header     http.Header `json:"header"`
	BodySHA256 string      `json:"body_sha256"`
	BodyBytes  int         `json:"body_bytes"`
	// Run is the number of executions so far under the request's idempotency key.
	Run int `json:"run"`
	// Body is for tests and not part of the response.
	Body []byte `json:"-"`
}

// Config configures a service.
type Config struct {
	// Slots is the capacity in load reports.
	Slots int
	// RestartAfter is the time until a crashed service restarts; with zero it stays
	// down.
	RestartAfter time.Duration
}

// Service is a stand-in service. It is safe for concurrent use.
type Service struct {
	config Config
	server *listen.Server

	mu       sync.Mutex
	faults   Faults
	byID     map[string]int
	byKey    map[string]int
	runs     int
	running  int
	recorded []RecordedRequest
}

// Start starts a service that listens on address, for example 127.0.0.1:0.
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

// Addr returns the listen address with the actual port.
func (s *Service) Addr() string { return s.server.Addr() }

// Connections returns the number of connections accepted so far.
func (s *Service) Connections() int { return s.server.Accepted() }

// Close stops the service and closes its connections.
func (s *Service) Close() { s.server.Close() }

// SilenceOpenConnections stops all traffic on the open connections for good,
// without closing them. New connections work.
func (s *Service) SilenceOpenConnections() { s.server.SilenceOpen() }

// SilenceNewConnections sets whether new connections are accepted but never
// answered.
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

// RecordedRequests returns the most recent executed requests.
func (s *Service) RecordedRequests() []RecordedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]RecordedRequest(nil), s.recorded...)
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	f := s.takeFaults(r, body)
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
	s.respond(w, seen, f)
}

// execute counts an execution of the request and records it.
func (s *Service) execute(r *http.Request, body []byte) RecordedRequest {
	sum := sha256.Sum256(body)
	seen := RecordedRequest{
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
	if len(s.recorded) == maxRecorded {
		s.recorded = s.recorded[1:]
	}
	s.recorded = append(s.recorded, seen)
	return seen
}

func (s *Service) respond(w http.ResponseWriter, seen RecordedRequest, f Faults) {
	s.addRunning(1)
	defer s.addRunning(-1)
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

func (s *Service) addRunning(change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running += change
}

// takeFaults returns the faults that apply to a request, and counts the request
// against Times.
func (s *Service) takeFaults(r *http.Request, body []byte) Faults {
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

func (s *Service) serveLoad(w http.ResponseWriter, r *http.Request) {
	if id := r.Header.Get(exchange.HeaderRequestID); id != "" {
		w.Header().Set(exchange.HeaderRequestID, id)
	}
	s.mu.Lock()
	doc := enginejson.LoadReport{Running: s.running, Slots: s.config.Slots}
	s.mu.Unlock()
	writeJSON(w, doc)
}

// State is the response of GET /admin/state.
type State struct {
	Faults    Faults            `json:"faults"`
	Runs      int               `json:"runs"`
	RunsByKey map[string]int    `json:"runs_by_key"`
	Seen      []RecordedRequest `json:"seen"`
}

func (s *Service) serveState(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	doc := State{Faults: s.faults, Runs: s.runs, RunsByKey: map[string]int{}}
	for key, n := range s.byKey {
		doc.RunsByKey[key] = n
	}
	doc.Seen = append(doc.Seen, s.recorded[max(0, len(s.recorded)-20):]...)
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
