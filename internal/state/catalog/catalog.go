// Package catalog holds the declarations of the platform's operator: routes by
// host and path, the services behind them with their models, and the customers
// with their keys and rate limits.
//
// A catalog is immutable and replaced as a whole, so that each request sees a
// single version. The replicated state stores the operator's document unchanged;
// this package holds its decoded form. Catalogs are the counterpart of
// state/config for fleets whose endpoints are discovered rather than declared.
package catalog

import "time"

// Kind determines whether requests of a route may run more than once.
type Kind int

// Kinds of routes. The zero value is the most restrictive one.
const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests get a stream of events as their response. They run at
	// most once unless the route is resumable.
	Streaming
)

// Catalog is one version of the operator's declarations.
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
	// Timeout bounds the time from a request's arrival to the end of its response.
	Timeout time.Duration
	// Target is the longest time to a response, or to the first event of a
	// stream, that counts as on time.
	Target time.Duration
	// MaxEventGap is the longest gap between the events of a stream that counts
	// as on time.
	MaxEventGap time.Duration
	// Priority 0 is the most urgent.
	Priority int
	// MaxAttempts bounds how many endpoints may run one request.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may be continued by another endpoint. An Index has it only at
	// routes of kind Streaming: other responses are no series of events.
	Resumable bool
	// Splits are the services with their weights; at least one weight is positive.
	Splits []Split
}

// Split assigns a weighted share of a route's requests to a service.
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
	// WarmUpTime is how long an endpoint warms up after its start, and WarmUpRate how
	// many requests per second it takes meanwhile. Both are zero for a service whose
	// endpoints need no warm-up.
	WarmUpTime time.Duration
	WarmUpRate float64
}

// MaxWarmUp bounds what a service or an endpoint states about the time of a warm-up.
const MaxWarmUp = 24 * time.Hour

// Engine describes the endpoints of a service that runs models.
type Engine struct {
	Slots    int
	KVTokens int
	// MemoryMB is the memory for weights and adapters of one endpoint.
	MemoryMB     float64
	AdapterSlots int
	// LoadsPerSecond is the rate limit of the weight store over all endpoints.
	LoadsPerSecond float64
	Models         []Model
}

// Model is a model that an engine can load.
type Model struct {
	Name     string
	MemoryMB float64
	// LoadTime is the time of a load from the weight store, DiskLoadTime and
	// WarmLoadTime are those from the endpoint's local copies.
	LoadTime, DiskLoadTime, WarmLoadTime time.Duration
	AdapterMB                            float64
}

// Customer is the owner of a set of keys.
type Customer struct {
	Name string
	Keys []string
	// Priority 0 is the most urgent.
	Priority int
	// Rate is in units per second and Burst in units. A zero Rate means no limit.
	Rate, Burst float64
	// ByTokens charges a request one unit for each token. Otherwise each request
	// costs one unit.
	ByTokens bool
	// DefaultTokens is the cost with ByTokens of a request without a token count.
	DefaultTokens float64
}

// Limits bounds the size and the duration of callers' requests.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}
