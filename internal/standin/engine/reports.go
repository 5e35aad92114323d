package engine

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/exchange"
	"github.com/radishloom/radishloom/internal/coordination/routing"
	"github.com/radishloom/radishloom/internal/protocol/enginejson"
)

// report is a load report with the time of its recording.
type report struct {
	at  time.Time
	doc enginejson.LoadReport
}

// loadReportInterval is the minimum interval between the recorded load reports
// that ReportLag selects from.
const loadReportInterval = 5 * time.Millisecond

// recordLoadReport records a load report of the current state. Callers hold mu.
func (e *Engine) recordLoadReport() {
	now := time.Now()
	doc := enginejson.LoadReport{
		Running: len(e.running), Waiting: len(e.waiting), Slots: e.config.Slots,
		Leaving: e.leaving,
	}
	if e.config.ChecksFencing {
		doc.FencingToken = e.fencingToken
	}
	for name, r := range e.resident {
		doc.Resident = append(doc.Resident, enginejson.ResidentReport{
			Model: name, Version: r.model.Version, MemoryMB: r.model.MemoryMB, Ready: r.ready,
		})
	}
	slices.SortFunc(doc.Resident, func(a, b enginejson.ResidentReport) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	for a := range e.adapters {
		doc.Adapters = append(doc.Adapters, a)
	}
	slices.Sort(doc.Adapters)
	if n := len(e.reports); n > 1 && now.Sub(e.reports[n-2].at) < loadReportInterval {
		e.reports[n-1] = report{now, doc}
	} else {
		e.reports = append(e.reports, report{now, doc})
	}
	e.dropOldReports(now)
}

// dropOldReports drops the reports older than ReportLag, except for the newest of
// them, which serveLoad sends.
func (e *Engine) dropOldReports(now time.Time) {
	n := 0
	for n+1 < len(e.reports) && now.Sub(e.reports[n+1].at) >= e.config.ReportLag {
		n++
	}
	e.reports = slices.Delete(e.reports, 0, n)
}

// serveLoad responds with the newest report that is at least ReportLag old.
func (e *Engine) serveLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.dropOldReports(time.Now())
	doc := e.reports[0].doc
	if e.config.ReportLag == 0 {
		doc = e.reports[len(e.reports)-1].doc
	}
	e.mu.Unlock()
	writeJSON(w, doc)
}

// cache is the prompt prefix cache with its events.
type cache struct {
	held   map[uint64]bool
	order  []uint64
	seq    uint64
	events []cacheEvent
}

type cacheEvent struct {
	at    time.Time
	entry enginejson.CacheEntry
}

// maxCacheEvents bounds the events kept for readers that lag behind.
const maxCacheEvents = 4096

// cachePrefix caches the prefixes of a body and reports whether the longest one
// was already cached. Callers hold mu.
func (e *Engine) cachePrefix(body []byte) bool {
	prefixes := routing.Prefixes(body)
	if len(prefixes) == 0 {
		return false
	}
	hit := e.cache.held[prefixes[len(prefixes)-1]]
	for _, p := range prefixes {
		if e.cache.held[p] {
			continue
		}
		e.cache.held[p] = true
		e.cache.order = append(e.cache.order, p)
		e.publish(p, false)
	}
	for len(e.cache.order) > e.config.CacheBlocks {
		old := e.cache.order[0]
		e.cache.order = e.cache.order[1:]
		delete(e.cache.held, old)
		e.publish(old, true)
	}
	return hit
}

// publish records a cache event. An event that CacheGap drops only takes its
// sequence number. Callers hold mu.
func (e *Engine) publish(prefix uint64, evicted bool) {
	e.cache.seq++
	if gap := e.config.CacheGap; gap > 0 && e.cache.seq%uint64(gap) == 0 {
		return
	}
	entry := enginejson.CacheEntry{Seq: e.cache.seq, Prefix: prefix, Evicted: evicted}
	e.cache.events = append(e.cache.events, cacheEvent{time.Now(), entry})
	if excess := len(e.cache.events) - maxCacheEvents; excess > 0 {
		e.cache.events = slices.Delete(e.cache.events, 0, excess)
	}
}

func (e *Engine) serveCacheEvents(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, http.StatusBadRequest, "bad_request", false)
		return
	}
	e.mu.Lock()
	doc := enginejson.CacheReport{Events: []enginejson.CacheEntry{}}
	for _, ev := range e.cache.events {
		if ev.entry.Seq > after && time.Since(ev.at) >= e.config.CacheLag {
			doc.Events = append(doc.Events, ev.entry)
		}
	}
	e.mu.Unlock()
	writeJSON(w, doc)
}

// maxKVBytes bounds an imported KV cache.
const maxKVBytes = 64 << 20

// serveExport responds with the KV cache of a request.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	e.mu.Lock()
	kv, imported := e.kv[id]
	run := e.runs[id]
	e.mu.Unlock()
	w.Header().Set(exchange.HeaderRequestID, id)
	if run == nil && !imported {
		writeError(w, http.StatusNotFound, "request_unknown", false)
		return
	}
	if !imported {
		kv = kvOf(run)
	}
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(kv)))
	_, _ = w.Write(kv)
}

// kvOf returns about 8 KiB of KV cache that depend on the request.
func kvOf(r *run) []byte {
	const size = 8 << 10
	out := make([]byte, 0, size)
	for i := 0; len(out) < size; i++ {
		out = append(out, r.text(i)...)
	}
	return out
}

func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	kv, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxKVBytes))
	w.Header().Set(exchange.HeaderRequestID, id)
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, "kv_too_large", false)
		return
	}
	e.mu.Lock()
	e.kv[id] = kv
	e.mu.Unlock()
	w.WriteHeader(http.StatusNoContent)
}

func writeJSON(w http.ResponseWriter, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		writeError(w, http.StatusInternalServerError, "internal", false)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = w.Write(body)
}
