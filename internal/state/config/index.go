package config

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// Index holds immutable look-up tables for one document. It is safe for
// concurrent use.
type Index struct {
	config      *statev1.Config
	routes      map[string]*statev1.Route
	prefixes    map[string]*statev1.Route
	modelRoutes map[string]*statev1.Route
	profiles    map[string]*statev1.Profile
	customers   map[string]*statev1.Customer
	models      map[string]*statev1.Model
	endpoints   map[string]*statev1.Endpoint
	engines     []*statev1.Endpoint
	pools       map[string][]*statev1.Endpoint
	keys        map[string]*statev1.Key
}

// NewIndex builds the tables for a valid document, which must not be modified
// afterwards.
func NewIndex(c *statev1.Config) *Index {
	x := &Index{
		config:      c,
		routes:      byName(c.GetRoutes()),
		prefixes:    map[string]*statev1.Route{},
		modelRoutes: map[string]*statev1.Route{},
		profiles:    byName(c.GetProfiles()),
		customers:   byName(c.GetCustomers()),
		models:      byName(c.GetModels()),
		endpoints:   byName(c.GetEndpoints()),
		pools:       map[string][]*statev1.Endpoint{},
		keys:        byName(c.GetKeys()),
	}
	for _, r := range sorted(c.GetRoutes()) {
		if r.GetPathPrefix() != "" {
			x.prefixes[cleanPrefix(r.GetPathPrefix())] = r
		}
		if r.GetKind() == statev1.RouteKind_ROUTE_KIND_MODEL && x.modelRoutes[r.GetModel()] == nil {
			x.modelRoutes[r.GetModel()] = r
		}
	}
	for _, e := range sorted(c.GetEndpoints()) {
		if e.GetKind() == statev1.EndpointKind_ENDPOINT_KIND_ENGINE {
			x.engines = append(x.engines, e)
		} else {
			x.pools[e.GetPool()] = append(x.pools[e.GetPool()], e)
		}
	}
	return x
}

func byName[T resource](list []T) map[string]T {
	out := make(map[string]T, len(list))
	for _, r := range list {
		out[nameOf(r)] = r
	}
	return out
}

// Config returns the document, which must not be modified.
func (x *Index) Config() *statev1.Config { return x.config }

// Version returns the document's version.
func (x *Index) Version() uint64 { return x.config.GetVersion() }

// Route returns a route by name, or nil.
func (x *Index) Route(name string) *statev1.Route { return x.routes[name] }

// RouteForPath returns the route with the longest prefix that matches the path
// by whole segments, or nil.
func (x *Index) RouteForPath(path string) *statev1.Route {
	for p := cleanPrefix(path); p != ""; {
		if r := x.prefixes[p]; r != nil {
			return r
		}
		p = p[:max(0, strings.LastIndexByte(p, '/'))]
	}
	return nil
}

// RouteForModel returns the route that serves the model, or nil. If several do,
// it returns the first in the order of their names.
func (x *Index) RouteForModel(model string) *statev1.Route { return x.modelRoutes[model] }

// Profile returns a profile by name, or nil.
func (x *Index) Profile(name string) *statev1.Profile { return x.profiles[name] }

// Customer returns a customer by name, or nil.
func (x *Index) Customer(name string) *statev1.Customer { return x.customers[name] }

// Model returns a model by name, or nil.
func (x *Index) Model(name string) *statev1.Model { return x.models[name] }

// Endpoint returns an endpoint by name, or nil.
func (x *Index) Endpoint(name string) *statev1.Endpoint { return x.endpoints[name] }

// Engines returns all engines, sorted by name.
func (x *Index) Engines() []*statev1.Endpoint { return slices.Clip(x.engines) }

// Pool returns the service endpoints of a pool, sorted by name.
func (x *Index) Pool(name string) []*statev1.Endpoint { return slices.Clip(x.pools[name]) }

// Authenticate returns the key that the secret belongs to. It compares a hash
// for an unknown identifier too, so that the time it takes does not reveal
// whether the identifier exists.
func (x *Index) Authenticate(secret string) (*statev1.Key, bool) {
	sum := sha256.Sum256([]byte(secret))
	key := x.keys[KeyID(secret)]
	want := make([]byte, secretHashBytes)
	copy(want, key.GetSecretSha256())
	equal := subtle.ConstantTimeCompare(sum[:], want) == 1
	if key == nil || !equal || len(key.GetSecretSha256()) != secretHashBytes {
		return nil, false
	}
	return key, true
}
