package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// engineServer is a model server. It carries out one order at a time, as the pages say:
// it checks the fence and the precondition, loads and unloads models, and crashes if it
// is ordered to load more than its memory holds.
type engineServer struct {
	world    *world
	id       string
	listener net.Listener
	born     int64
	sizesMB  map[string]float64

	mu       sync.Mutex
	models   []string
	loading  string
	sequence uint64
	fence    uint64
	running  int
	crashed  bool
	// reported is the report as of reportLag ago.
	reported engineReport
	// overload says what it was ordered to load beyond its memory; empty if nothing.
	overload string
}

// Sizes and times of the engines of the users' sheet.
const (
	engineMemoryMB = 200000.0
	engineSlots    = 64
	modelMB        = 72700.0
	modelLoadTime  = 1200 * time.Millisecond
	// reportLag is how old the values of a report are.
	reportLag   = 200 * time.Millisecond
	streamCount = 10
	streamGap   = 20 * time.Millisecond
)

// engineReport is the answer of GET /v1/report.
type engineReport struct {
	Stage        string          `json:"stage"`
	Models       []modelOnEngine `json:"models"`
	Busy         bool            `json:"busy"`
	Sequence     uint64          `json:"sequence"`
	Born         int64           `json:"born"`
	WaitingCount int             `json:"waitingCount"`
	RunningCount int             `json:"runningCount"`
	KvUsed       int             `json:"kvUsed"`
	KvTotal      int             `json:"kvTotal"`
	Handles      int             `json:"handles"`
	Incoming     []string        `json:"incoming"`
	Available    map[string]any  `json:"available"`
}

type modelOnEngine struct {
	Name     string   `json:"name"`
	Version  int      `json:"version"`
	Adapters []string `json:"adapters"`
}

// startEngine starts a model server that holds the models, and lists it.
func (w *world) startEngine(id, serviceName string, n int, sizesMB map[string]float64, models ...string) (*engineServer, error) {
	l, err := net.Listen("tcp", w.address(150+n)+":0")
	if err != nil {
		return nil, err
	}
	e := &engineServer{world: w, id: id, listener: l, born: time.Now().UnixMilli(), sizesMB: sizesMB, models: models}
	e.reported = e.reportLocked()
	go func() { _ = http.Serve(l, e) }() // ends with the listener
	go e.keepReport()
	w.engines = append(w.engines, e)
	w.platform.add(map[string]any{
		"id": id, "service": serviceName, "address": l.Addr().String(), "zone": "zone-a", "version": "v1", "slots": engineSlots, "state": "ready",
		"coldRemainingMs": 0, "stage": "prefill_decode", "models": e.reported.Models, "born": e.born,
	})
	return e, nil
}

// keepReport brings the report up to date.
func (e *engineServer) keepReport() {
	for {
		e.mu.Lock()
		r, crashed := e.reportLocked(), e.crashed
		e.mu.Unlock()
		if crashed {
			return
		}
		time.Sleep(reportLag)
		e.mu.Lock()
		e.reported = r
		e.mu.Unlock()
	}
}

func (e *engineServer) reportLocked() engineReport {
	r := engineReport{
		Stage: "prefill_decode", Models: []modelOnEngine{}, Busy: e.loading != "", Sequence: e.sequence, Born: e.born, RunningCount: e.running,
		KvTotal: 142854, Incoming: []string{}, Available: map[string]any{"inMemory": e.models, "onDisk": e.models},
	}
	for _, m := range e.models {
		r.Models = append(r.Models, modelOnEngine{Name: m, Version: 1, Adapters: []string{}})
	}
	return r
}

func (e *engineServer) close() { _ = e.listener.Close() }

// ServeHTTP answers a report, an order or a request.
func (e *engineServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Attempt-Id")
	if id != "" {
		w.Header().Set("Attempt-Id", id)
	}
	body, _ := io.ReadAll(r.Body)
	if e.hasCrashed() {
		panic(http.ErrAbortHandler) // closes a channel that was kept
	}
	if want := r.Header.Get("Expect-Instance"); want != "" && want != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/v1/report":
		e.mu.Lock()
		defer e.mu.Unlock()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(e.reported)
	case "/v1/order":
		status := e.order(body)
		if e.hasCrashed() {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(status)
	default:
		e.stream(w, r, id)
	}
}

// order begins to carry out an order and returns the status of the answer.
func (e *engineServer) order(body []byte) int {
	var o struct {
		Operation, Model, Adapter, Holder string
		Precondition                      *uint64
		Fence                             *uint64
	}
	if err := json.Unmarshal(body, &o); err != nil || o.Holder == "" || o.Fence == nil {
		return http.StatusBadRequest
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	status := e.orderLocked(o.Operation, o.Model, o.Precondition, *o.Fence)
	e.world.note("server %s: order %s %s by %s, fence %d: status %d; it holds %s, crashed %t", e.id, o.Operation, o.Model, o.Holder, *o.Fence, status, strings.Join(e.models, ", "), e.crashed)
	return status
}

func (e *engineServer) orderLocked(operation, model string, precondition *uint64, fence uint64) int {
	switch {
	case fence < e.fence:
		return http.StatusPreconditionFailed
	case e.loading != "" || (precondition != nil && *precondition != e.sequence):
		return http.StatusConflict
	case operation == "load" && slices.Contains(e.models, model):
		return http.StatusOK
	case operation == "unload":
		e.fence = fence
		e.sequence++
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == model })
		return http.StatusAccepted
	case operation != "load" || e.sizesMB[model] == 0:
		return http.StatusBadRequest
	}
	e.fence = fence
	e.sequence++
	if held := e.heldMB() + e.sizesMB[model]; held > engineMemoryMB {
		e.crashLocked(fmt.Sprintf("%s beside %s: %.0f MB of %.0f MB", model, strings.Join(e.models, ", "), held, engineMemoryMB))
		return http.StatusAccepted
	}
	e.loading = model
	time.AfterFunc(modelLoadTime, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.models, e.loading = append(e.models, model), ""
	})
	return http.StatusAccepted
}

func (e *engineServer) heldMB() float64 {
	total := 0.0
	for _, m := range e.models {
		total += e.sizesMB[m]
	}
	return total
}

// crashLocked ends the server and all that it runs.
func (e *engineServer) crashLocked(why string) {
	e.overload, e.crashed = why, true
	e.close()
}

// stream runs a request: it sends some events.
func (e *engineServer) stream(w http.ResponseWriter, r *http.Request, id string) {
	e.mu.Lock()
	held := slices.Contains(e.models, r.Header.Get("Model"))
	e.mu.Unlock()
	if !held {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	e.world.log("server %s runs request %s for model %s", e.id, id, r.Header.Get("Model"))
	e.count(1)
	defer e.count(-1)
	w.Header().Set("Response-Seal", seal(e.id, id))
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for n := range streamCount {
		if e.hasCrashed() {
			panic(http.ErrAbortHandler) // the channel breaks off
		}
		_, _ = fmt.Fprintf(w, "id: %d\ndata: %s %d\n\n", n+1, id, n+1)
		_ = control.Flush()
		time.Sleep(streamGap)
	}
}

func (e *engineServer) count(n int) {
	e.mu.Lock()
	e.running += n
	e.mu.Unlock()
}

func (e *engineServer) hasCrashed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashed
}

// overloaded returns what the server was ordered to load beyond its memory, or "".
func (e *engineServer) overloaded() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.overload
}
