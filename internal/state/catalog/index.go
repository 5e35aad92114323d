package catalog

import (
	"cmp"
	"net"
	"slices"
	"strings"
)

// Index holds look-up tables for one catalog. It is immutable and safe for
// concurrent use.
type Index struct {
	catalog *Catalog
	// routes maps each host, in lower case, to its routes, longest prefix first.
	routes    map[string][]*Route
	services  map[string]*Service
	models    map[string]*Model
	customers map[string]*Customer
	keys      map[string]*Customer
}

// NewIndex returns the look-up tables of a valid catalog in its normal form. The given
// catalog must not be modified afterwards.
func NewIndex(c *Catalog) *Index {
	c = c.normalized()
	x := &Index{
		catalog:   c,
		routes:    make(map[string][]*Route),
		services:  make(map[string]*Service, len(c.Services)),
		models:    make(map[string]*Model),
		customers: make(map[string]*Customer, len(c.Customers)),
		keys:      make(map[string]*Customer),
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		x.routes[host] = append(x.routes[host], r)
	}
	for _, list := range x.routes {
		slices.SortStableFunc(list, comparePrefixes)
	}
	for i := range c.Services {
		x.addService(&c.Services[i])
	}
	for i := range c.Customers {
		customer := &c.Customers[i]
		x.customers[customer.Name] = customer
		for _, key := range customer.Keys {
			x.keys[key] = customer
		}
	}
	return x
}

// comparePrefixes orders routes of one host by the length of their prefixes, the longest
// first, and then by the prefixes, so that the order does not depend on the document.
func comparePrefixes(a, b *Route) int {
	return cmp.Or(len(b.Prefix)-len(a.Prefix), strings.Compare(a.Prefix, b.Prefix))
}

func (x *Index) addService(s *Service) {
	x.services[s.Name] = s
	if s.Engine == nil {
		return
	}
	for i := range s.Engine.Models {
		x.models[s.Engine.Models[i].Name] = &s.Engine.Models[i]
	}
}

// Catalog returns the indexed catalog, which must not be modified.
func (x *Index) Catalog() *Catalog { return x.catalog }

// Version returns the catalog's version.
func (x *Index) Version() uint64 { return x.catalog.Version }

// Route returns the route of the host with the longest prefix of the path, or
// nil. The host may carry a port.
func (x *Index) Route(host, path string) *Route {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range x.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// Service returns a service by its name, or nil.
func (x *Index) Service(name string) *Service { return x.services[name] }

// Model returns a model by its name, or nil.
func (x *Index) Model(name string) *Model { return x.models[name] }

// Customer returns a customer by its name, or nil.
func (x *Index) Customer(name string) *Customer { return x.customers[name] }

// Authenticate returns the customer that a key belongs to, or nil.
func (x *Index) Authenticate(key string) *Customer { return x.keys[key] }

// Cost returns the units that a request is charged against the customer's rate
// limit. hasTokens reports whether the request states its number of tokens.
func (c *Customer) Cost(tokens int, hasTokens bool) float64 {
	switch {
	case !c.ByTokens:
		return 1
	case hasTokens:
		return float64(tokens)
	default:
		return c.DefaultTokens
	}
}

// normalized returns a copy whose routes lack what has no meaning for their kind, so that
// the users of an Index need not ask for the kind as well.
func (c *Catalog) normalized() *Catalog {
	out := *c
	out.Routes = slices.Clone(c.Routes)
	for i := range out.Routes {
		r := &out.Routes[i]
		r.Resumable = r.Resumable && r.Kind == Streaming
	}
	return &out
}

// Idempotent reports whether a request of the route may run more than once. The route
// is one of an Index.
func (r *Route) Idempotent() bool { return r.Kind == Idempotent || r.Resumable }

// Services returns the sorted services to which the route sends new requests.
func (r *Route) Services() []string {
	var out []string
	for _, split := range r.Splits {
		if split.Weight > 0 {
			out = append(out, split.Service)
		}
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// PickService returns the service that the weights assign to fraction, a number in
// [0, 1).
func (r *Route) PickService(fraction float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	remaining := fraction * float64(total)
	for _, s := range r.Splits {
		if remaining < float64(s.Weight) {
			return s.Service
		}
		remaining -= float64(s.Weight)
	}
	return r.Splits[len(r.Splits)-1].Service
}
