// Package catalog describes what the platform's operator declares: routes by
// host and path, the services behind them with their models, and the customers
// with keys and rates.
//
// A catalog is replaced as a whole and never changed, so that one request sees
// one version. The replicated state keeps its document as it was sent; this
// package holds what the document means. Catalogs are the counterpart of
// state/config for fleets whose endpoints are discovered rather than declared.
package catalog

import "time"

// Kind says what may be repeated on a route.
type Kind int

// Kinds of routes. The zero value is the careful one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by events. They run at most once unless the
	// route is resumable.
	Streaming
)

// Catalog is one version of the declaration.
type Catalog struct {
	Version   uint64
	Routes    []Route
	Services  []Service
	Customers []Customer
	Limits    Limits
}

// Route sends requests of a host and path prefix to services.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	// Timeout is the longest time without a final answer.
	Timeout time.Duration
	// Target is the time within which an answer, or the first event, is on time.
	Target time.Duration
	// MaxPause is the longest pause between events of an answer that is on time.
	MaxPause time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the endpoints that may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another endpoint.
	Resumable bool
	// Splits are the services with their weights; at least one weight is positive.
	Splits []Split
}

// Split is the part of a route's requests that a service gets.
type Split struct {
	Service string
	Weight  int
}

// Service is a group of endpoints.
type Service struct {
	Name           string
	HealthPath     string
	MaxConnections int
	// Engine is nil for a plain service.
	Engine *Engine
}

// Engine describes the endpoints of a service that runs models.
type Engine struct {
	Slots    int
	KVTokens int
	// MemoryMB is the memory for weights and adapters of one endpoint.
	MemoryMB     float64
	AdapterSlots int
	// LoadsPerSecond is what the weight store allows over all endpoints.
	LoadsPerSecond float64
	Models         []Model
}

// Model is a model that an engine can load.
type Model struct {
	Name     string
	MemoryMB float64
	// LoadTime is from the weight store, DiskLoadTime and WarmLoadTime are from
	// the endpoint's own copies.
	LoadTime, DiskLoadTime, WarmLoadTime time.Duration
	AdapterMB                            float64
}

// Customer is who a key belongs to.
type Customer struct {
	Name string
	Keys []string
	// Priority 0 is the most urgent.
	Priority int
	// Rate and Burst are in units a second and units; zero means no limit.
	Rate, Burst float64
	// ByTokens counts a request by its tokens; else each counts as one unit.
	ByTokens bool
	// PlainTokens is what a request without a token count costs.
	PlainTokens float64
}

// Limits bounds what a caller sends.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
