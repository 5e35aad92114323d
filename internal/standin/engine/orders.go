package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/protocol/enginejson"
)

// resident is a model in memory; it is not ready while it is loaded or unloaded.
type resident struct {
	model Model
	ready bool
}

// order is a received order. Its result is kept so that a repeated order gets the
// same response.
type order struct {
	done   chan struct{}
	status int
	kind   string
}

// serveOrder executes an order and responds when it is done.
func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var doc enginejson.OrderDocument
	if json.NewDecoder(r.Body).Decode(&doc) != nil {
		writeError(w, http.StatusBadRequest, "bad_request", true)
		return
	}
	w.Header().Set(exchange.HeaderRequestID, strconv.FormatUint(doc.ID, 10))
	e.mu.Lock()
	f := e.faults
	o, repeated := e.orders[doc.ID]
	if !repeated {
		o = &order{done: make(chan struct{})}
		e.orders[doc.ID] = o
		go e.execute(o, doc, time.Now(), f)
	}
	e.mu.Unlock()
	select {
	case <-o.done:
	case <-r.Context().Done():
		return // the order continues without its connection
	}
	if f.LoseOrderAnswer {
		panic(http.ErrAbortHandler)
	}
	if o.status != http.StatusOK {
		writeError(w, o.status, o.kind, true)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write([]byte(`{"outcome":"done"}`))
}

// execute performs an order unless it has expired.
func (e *Engine) execute(o *order, doc enginejson.OrderDocument, received time.Time, f Faults) {
	defer close(o.done)
	time.Sleep(f.OrderDelay)
	expired := time.Since(received) > time.Duration(doc.LifetimeMS)*time.Millisecond
	if expired && !f.IgnoreLifetime {
		o.status, o.kind = http.StatusGone, enginejson.OrderExpired
		return
	}
	o.status, o.kind = e.perform(doc)
}

// perform applies an order, unless its fencing token is stale, and returns the
// HTTP status and the error kind.
func (e *Engine) perform(doc enginejson.OrderDocument) (int, string) {
	e.mu.Lock()
	if e.config.ChecksFencing && doc.FencingToken < e.fencingToken {
		e.mu.Unlock()
		return http.StatusConflict, enginejson.OrderFencingTokenOld
	}
	e.fencingToken = max(e.fencingToken, doc.FencingToken)
	duration, finish, kind := e.beginOrder(doc)
	e.recordLoadReport()
	e.mu.Unlock()
	if kind != "" {
		return http.StatusConflict, kind
	}
	time.Sleep(duration)
	e.mu.Lock()
	defer e.mu.Unlock()
	finish()
	e.recordLoadReport()
	return http.StatusOK, ""
}

// beginOrder starts a change. It returns how long the change takes and the
// function that completes it, or the kind of the refusal. Callers hold mu.
func (e *Engine) beginOrder(doc enginejson.OrderDocument) (duration time.Duration, finish func(), refused string) {
	nothing := func() {}
	switch doc.Kind {
	case "load_model":
		return e.beginLoad(doc)
	case "unload_model":
		if r := e.resident[doc.Model]; r != nil {
			r.ready = false
		}
		return 0, func() { delete(e.resident, doc.Model) }, ""
	case "load_adapter":
		if e.adapters[doc.Adapter] {
			return 0, nothing, ""
		}
		return e.config.AdapterLoadTime, func() { e.adapters[doc.Adapter] = true }, ""
	case "unload_adapter":
		return 0, func() { delete(e.adapters, doc.Adapter) }, ""
	case "set_role":
		return 0, func() { e.role = doc.Role }, ""
	default:
		return 0, nothing, "order_unknown"
	}
}

func (e *Engine) beginLoad(doc enginejson.OrderDocument) (time.Duration, func(), string) {
	if r := e.resident[doc.Model]; r != nil && r.ready && r.model.Version == doc.Version {
		return 0, func() {}, ""
	}
	m, ok := e.models[doc.Model]
	if !ok {
		m = Model{Name: doc.Model}
	}
	m.Version, m.MemoryMB = doc.Version, doc.MemoryMB
	used := uint64(0)
	for name, r := range e.resident {
		if name != doc.Model {
			used += r.model.MemoryMB
		}
	}
	if used+m.MemoryMB > e.config.MemoryMB {
		return 0, nil, enginejson.OrderOutOfMemory
	}
	loading := &resident{model: m}
	e.resident[doc.Model] = loading
	return e.config.LoadTime, func() { loading.ready = true }, ""
}

// Role returns the role that the last set_role order set.
func (e *Engine) Role() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.role
}
