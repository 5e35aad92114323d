// Package engine is a stand-in for an inference server. It implements the
// protocol of docs/engine-protocol.md, simulates continuous batching and model
// memory, and injects on demand the faults that real engines have.
package engine

import (
	"crypto/rand"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/radishloom/radishloom/internal/standin/listen"
)

// Model is a model that the engine can hold.
type Model struct {
	Name     string   `json:"name"`
	Version  string   `json:"version"`
	MemoryMB uint64   `json:"memory_mb"`
	Adapters []string `json:"adapters"`
}

// Config configures an engine.
type Config struct {
	// Models lists the models that can be loaded; those named in Resident are
	// loaded at start.
	Models   []Model
	Resident []string
	MemoryMB uint64
	// Slots is the number of requests that run at once; others wait.
	Slots int
	// MaxWaiting bounds the wait queue; a request beyond it is refused as not run.
	MaxWaiting int
	// TokenTime is the time per token when a single request runs. BatchSlowdown
	// is the fraction of TokenTime that each further request adds.
	TokenTime     time.Duration
	BatchSlowdown float64
	// PromptTokenTime is the prefill time per prompt token.
	PromptTokenTime time.Duration
	// Heartbeat is the interval between informational responses (102) to a
	// request that is not streamed.
	Heartbeat time.Duration
	// LoadTime is the time to load a model, AdapterLoadTime that for an adapter.
	LoadTime, AdapterLoadTime time.Duration
	// ReportLag is the delay of load reports, CacheLag that of cache events.
	ReportLag, CacheLag time.Duration
	// CacheGap drops every n-th cache event; zero drops none.
	CacheGap int
	// CacheBlocks bounds the number of cached prompt prefixes.
	CacheBlocks int
	// ChecksFencing refuses orders with a stale fencing token.
	ChecksFencing bool
	// ResumeWindow is how long after its end a request can be resumed.
	ResumeWindow time.Duration
	// RestartAfter is the time until a crashed engine restarts; with zero it stays
	// down until Restart.
	RestartAfter time.Duration
	// OnCrash, if set, runs instead of the simulated crash.
	OnCrash func()
}

const (
	defaultSlots        = 8
	defaultMaxWaiting   = 1024
	defaultResumeWindow = 10 * time.Second
	defaultCacheBlocks  = 1024
	defaultMemoryMB     = 80 << 10
	defaultHeartbeat    = 200 * time.Millisecond
)

func (c Config) withDefaults() Config {
	if c.Slots <= 0 {
		c.Slots = defaultSlots
	}
	if c.MaxWaiting <= 0 {
		c.MaxWaiting = defaultMaxWaiting
	}
	if c.ResumeWindow <= 0 {
		c.ResumeWindow = defaultResumeWindow
	}
	if c.CacheBlocks <= 0 {
		c.CacheBlocks = defaultCacheBlocks
	}
	if c.Heartbeat <= 0 {
		c.Heartbeat = defaultHeartbeat
	}
	if c.MemoryMB == 0 {
		c.MemoryMB = defaultMemoryMB
	}
	return c
}

// Engine is a stand-in engine. It is safe for concurrent use.
type Engine struct {
	config Config
	server *listen.Server
	mux    *http.ServeMux

	mu sync.Mutex
	// incarnation names the process; it differs after each restart.
	incarnation string
	wake        *sync.Cond
	closed      bool
	leaving     bool
	role        string
	faults      Faults
	counters    counters
	runs        map[string]*run
	lastSweep   time.Time // last time expired runs were dropped
	running     []*run
	waiting     []*run
	kv          map[string][]byte
	recorded    []string

	models       map[string]Model
	resident     map[string]*resident
	adapters     map[string]bool
	fencingToken uint64
	orders       map[uint64]*order
	cache        cache
	reports      []report
}

// Start starts an engine that listens on address, for example 127.0.0.1:0.
func Start(address string, c Config) (*Engine, error) {
	e := &Engine{config: c.withDefaults(), models: make(map[string]Model)}
	e.wake = sync.NewCond(&e.mu)
	e.counters = newCounters()
	for _, m := range c.Models {
		e.models[m.Name] = m
	}
	e.reset()
	e.routes()
	server, err := listen.Start(address, e.mux)
	if err != nil {
		return nil, err
	}
	e.server = server
	go e.loop()
	return e, nil
}

// reset clears the state that a process loses in a restart. Callers hold mu or
// have the only reference to the engine.
func (e *Engine) reset() {
	e.incarnation = rand.Text()
	e.runs = make(map[string]*run)
	e.running, e.waiting = nil, nil
	e.kv = make(map[string][]byte)
	e.resident = make(map[string]*resident)
	e.adapters = make(map[string]bool)
	e.orders = make(map[uint64]*order)
	e.fencingToken = 0
	e.cache = cache{held: make(map[uint64]bool)}
	for _, name := range e.config.Resident {
		e.resident[name] = &resident{model: e.models[name], ready: true}
	}
	e.recordLoadReport()
}

// Addr returns the listen address with the actual port.
func (e *Engine) Addr() string { return e.server.Addr() }

// Connections returns the number of connections accepted so far.
func (e *Engine) Connections() int { return e.server.Accepted() }

// Close stops the engine and closes its connections.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.stopAll()
	e.wake.Broadcast()
	e.mu.Unlock()
	e.server.Close()
}

// Crash simulates a process crash: it stops every run, resets every connection
// and loses the state. With OnCrash set it only calls that.
func (e *Engine) Crash() {
	if e.config.OnCrash != nil {
		e.config.OnCrash()
		return
	}
	e.mu.Lock()
	e.counters.crashes++
	e.stopAll()
	e.reset()
	e.mu.Unlock()
	e.server.Crash(e.config.RestartAfter)
}

// Restart listens again after a crash.
func (e *Engine) Restart() error { return e.server.Restart() }

// SilenceOpenConnections stops all traffic on the open connections for good,
// without closing them. New connections work.
func (e *Engine) SilenceOpenConnections() { e.server.SilenceOpen() }

// SilenceNewConnections sets whether new connections are accepted but never
// answered.
func (e *Engine) SilenceNewConnections(on bool) { e.server.SilenceNew(on) }

// SetLeaving sets whether the engine reports that it is leaving and refuses new
// requests.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
	e.recordLoadReport()
}

// stopAll ends every run. Callers hold mu.
func (e *Engine) stopAll() {
	for _, r := range e.runs {
		r.stop()
	}
}

// resolveModel resolves the model name of a request to a model that is ready,
// and to one of its adapters if the name is ADAPTER or MODEL:ADAPTER. Callers
// hold mu.
func (e *Engine) resolveModel(name string) (model, adapter string, ok bool) {
	if r := e.resident[name]; r != nil && r.ready {
		return name, "", true
	}
	for _, r := range e.resident {
		for _, a := range r.model.Adapters {
			if r.ready && (name == a || name == r.model.Name+":"+a) {
				return r.model.Name, a, true
			}
		}
	}
	return "", "", false
}

// Resident returns the names of the models that are ready.
func (e *Engine) Resident() []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []string
	for name, r := range e.resident {
		if r.ready {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}
