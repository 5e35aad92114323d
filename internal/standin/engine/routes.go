package engine

import (
	"encoding/json"
	"net/http"
	"strings"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
)

// routes registers the engine protocol and the admin paths.
func (e *Engine) routes() {
	e.mux = http.NewServeMux()
	e.mux.HandleFunc("POST /v1/chat/completions", e.serveInference)
	e.mux.HandleFunc("POST /v1/completions", e.serveInference)
	e.mux.HandleFunc("GET /v1/requests/{id}/stream", e.serveResume)
	e.mux.HandleFunc("DELETE /v1/requests/{id}", withRequestID(e.serveCancel))
	e.mux.HandleFunc("POST /v1/orders", e.serveOrder)
	e.mux.HandleFunc("GET /v1/load", withRequestID(e.serveLoad))
	e.mux.HandleFunc("GET /v1/cache-events", withRequestID(e.serveCacheEvents))
	e.mux.HandleFunc("GET /v1/kv/{id}", e.serveExport)
	e.mux.HandleFunc("PUT /v1/kv/{id}", e.serveImport)
	e.mux.HandleFunc("GET /admin/state", e.serveState)
	e.mux.HandleFunc("PUT /admin/faults", e.serveFaults)
	e.mux.HandleFunc("POST /admin/crash", e.serveAction)
	e.mux.HandleFunc("POST /admin/silence-open", e.serveAction)
	e.mux.HandleFunc("POST /admin/silence-new", e.serveAction)
	e.mux.HandleFunc("POST /admin/answer-new", e.serveAction)
	e.mux.HandleFunc("POST /admin/leave", e.serveAction)
	e.mux.HandleFunc("POST /admin/stay", e.serveAction)
}

// withRequestID echoes the identifier of a request in the response.
func withRequestID(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		setRequestIDHeader(w, r.Header.Get(exchange.HeaderRequestID), Faults{})
		next(w, r)
	}
}

// maxRecorded bounds the requests kept for inspection.
const maxRecorded = 1000

// recordRequest records the request line, the header and the body of a request.
func (e *Engine) recordRequest(r *http.Request, body []byte) {
	var text strings.Builder
	text.WriteString(r.Method + " " + r.RequestURI + "\n")
	_ = r.Header.Write(&text)
	text.Write(body)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.recorded) == maxRecorded {
		e.recorded = e.recorded[1:]
	}
	e.recorded = append(e.recorded, text.String())
}

// RecordedRequests returns the most recent inference, resume and cancel requests
// as text.
func (e *Engine) RecordedRequests() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]string(nil), e.recorded...)
}

// State is the response of GET /admin/state.
type State struct {
	Faults      Faults         `json:"faults"`
	RunsByID    map[string]int `json:"runs_by_id"`
	RunsByKey   map[string]int `json:"runs_by_key"`
	Runs        int            `json:"runs"`
	Running     int            `json:"running"`
	Waiting     int            `json:"waiting"`
	Crashes     int            `json:"crashes"`
	Connections int            `json:"connections"`
	Resident    []string       `json:"resident"`
}

func (e *Engine) serveState(w http.ResponseWriter, _ *http.Request) {
	s := State{Resident: e.Resident(), Connections: e.Connections(), RunsByID: map[string]int{}, RunsByKey: map[string]int{}}
	e.mu.Lock()
	for id, n := range e.counters.byID {
		s.RunsByID[id] = n
		s.Runs += n
	}
	for key, n := range e.counters.byKey {
		s.RunsByKey[key] = n
	}
	s.Faults = e.faults
	s.Running, s.Waiting, s.Crashes = len(e.running), len(e.waiting), e.counters.crashes
	e.mu.Unlock()
	writeJSON(w, s)
}

func (e *Engine) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", false)
		return
	}
	e.SetFaults(f)
	w.WriteHeader(http.StatusNoContent)
}

// serveAction runs the admin action that the path names. It responds before it
// acts, because the action may close the connection.
func (e *Engine) serveAction(w http.ResponseWriter, r *http.Request) {
	w.WriteHeader(http.StatusNoContent)
	_ = http.NewResponseController(w).Flush()
	switch r.URL.Path {
	case "/admin/crash":
		e.Crash()
	case "/admin/silence-open":
		e.SilenceOpenConnections()
	case "/admin/silence-new":
		e.SilenceNewConnections(true)
	case "/admin/answer-new":
		e.SilenceNewConnections(false)
	case "/admin/leave":
		e.SetLeaving(true)
	case "/admin/stay":
		e.SetLeaving(false)
	}
}
