// Package engine is a stand-in for a model engine. It speaks the protocol of
// docs/engine-protocol.md, models continuous batching and memory, and shows on
// demand the faults that real engines show.
package engine

import (
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

// Config describes one engine.
type Config struct {
	// Models can be loaded; those in Resident are loaded at start.
	Models   []Model
	Resident []string
	MemoryMB uint64
	// Slots is how many requests run at once; more wait.
	Slots int
	// MaxWaiting bounds the queue; a request beyond it is refused as not run.
	MaxWaiting int
	// TokenTime is the time for one token of a request that runs alone.
	// BatchSlowdown is the share of TokenTime that each further request adds.
	TokenTime     time.Duration
	BatchSlowdown float64
	// PromptTokenTime is the time for one token of a prompt.
	PromptTokenTime time.Duration
	// Heartbeat is the interval of informational answers to a request that waits
	// for a whole answer.
	Heartbeat time.Duration
	// LoadTime and AdapterLoadTime are those of one model and one adapter.
	LoadTime, AdapterLoadTime time.Duration
	// ReportLag is the age of load reports, CacheLag that of cache events.
	ReportLag, CacheLag time.Duration
	// CacheGap leaves out every n-th cache event; zero leaves out none.
	CacheGap int
	// CacheBlocks bounds the cached prompt prefixes.
	CacheBlocks int
	// ChecksFencing refuses orders with an old fencing token.
	ChecksFencing bool
	// ResumeWindow is how long a finished request can be resumed.
	ResumeWindow time.Duration
	// RestartAfter is how long a crashed engine stays away; zero is for good.
	RestartAfter time.Duration
	// OnCrash, if set, runs in place of the simulated crash.
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

// Engine is one stand-in. It is safe for concurrent use.
type Engine struct {
	config Config
	server *listen.Server
	mux    *http.ServeMux

	mu       sync.Mutex
	wake     *sync.Cond
	closed   bool
	leaving  bool
	role     string
	faults   Faults
	counters counters
	runs     map[string]*run
	swept    time.Time // when old runs were dropped last
	running  []*run
	waiting  []*run
	kv       map[string][]byte
	seen     []string

	models   map[string]Model
	resident map[string]*resident
	adapters map[string]bool
	fencing  uint64
	orders   map[uint64]*order
	cache    cache
	reports  []report
}

// Start runs an engine at an address such as 127.0.0.1:0.
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

// reset forgets what a restarted process has forgotten. Callers hold mu or are
// alone.
func (e *Engine) reset() {
	e.runs = make(map[string]*run)
	e.running, e.waiting = nil, nil
	e.kv = make(map[string][]byte)
	e.resident = make(map[string]*resident)
	e.adapters = make(map[string]bool)
	e.orders = make(map[uint64]*order)
	e.fencing = 0
	e.cache = cache{held: make(map[uint64]bool)}
	for _, name := range e.config.Resident {
		e.resident[name] = &resident{model: e.models[name], ready: true}
	}
	e.snapshot()
}

// Addr returns the address with the real port.
func (e *Engine) Addr() string { return e.server.Addr() }

// Connections counts the connections accepted so far.
func (e *Engine) Connections() int { return e.server.Accepted() }

// Close ends the engine.
func (e *Engine) Close() {
	e.mu.Lock()
	e.closed = true
	e.stopAll()
	e.wake.Broadcast()
	e.mu.Unlock()
	e.server.Close()
}

// Crash ends every run and connection, and forgets the state.
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

// Restart brings a crashed engine back.
func (e *Engine) Restart() error { return e.server.Restart() }

// SilenceOpenConnections makes the open connections silent for good while new
// ones work.
func (e *Engine) SilenceOpenConnections() { e.server.SilenceOpen() }

// SilenceNewConnections accepts new connections without answering on them.
func (e *Engine) SilenceNewConnections(on bool) { e.server.SilenceNew(on) }

// SetLeaving makes the engine announce that it wants no new work, and refuse
// it.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
	e.snapshot()
}

// stopAll ends every run. Callers hold mu.
func (e *Engine) stopAll() {
	for _, r := range e.runs {
		r.stop()
	}
}

// knows resolves the name in a request to a resident model, and to an adapter
// if it names one. Callers hold mu.
func (e *Engine) knows(name string) (model, adapter string, ok bool) {
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
