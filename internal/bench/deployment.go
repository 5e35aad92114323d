package bench

import (
	"fmt"
	"math"
	"slices"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/entry"
)

// Deployment has the sizes of one user's fleet (section 1 of docs/design.md).
type Deployment struct {
	Name                                           string
	DataCentres, Engines, Models, Adapters, Pooled int
	// AdapterLoad is the load time of one adapter, AdapterKnee the number of
	// loads in flight beyond which each takes longer.
	AdapterLoad time.Duration
	AdapterKnee uint32
}

// North and Lima are today's deployments. Pooled counts service endpoints.
func North() Deployment {
	return Deployment{
		Name: "north", DataCentres: 3, Engines: 12, Models: 20, Adapters: 60, Pooled: 3,
		AdapterLoad: 8 * time.Millisecond, AdapterKnee: 90,
	}
}

// Lima is the second deployment.
func Lima() Deployment {
	return Deployment{
		Name: "lima", DataCentres: 4, Engines: 9, Models: 13, Adapters: 55, Pooled: 4,
		AdapterLoad: 8 * time.Millisecond, AdapterKnee: 15,
	}
}

const (
	entries = 9
	// slots is how many requests an engine runs at once.
	slots = 16
	// modelsPerEngine is how many models fit into an engine's memory.
	modelsPerEngine = 5
	modelMemoryMB   = 10_000
	// tokenTime is that of a request alone; a full batch takes 21 ms.
	tokenTime       = 16 * time.Millisecond
	batchSlowdown   = 0.02
	promptTokenTime = 400 * time.Microsecond
	reportLag       = 500 * time.Millisecond
	cacheLag        = 200 * time.Millisecond
	serviceTime     = 20 * time.Millisecond
	serviceSlots    = 64
	// restartAfter is how long a crashed endpoint stays away.
	restartAfter = 3 * time.Second
)

// class is one of the two profiles of the traffic.
type class struct {
	name               string
	priority           int32
	firstToken, gap    time.Duration // targets
	deadline, silence  time.Duration
	reserved           uint32
	minPrompt, maxProm int // bytes of the part that is not shared
	minTokens, maxToks int
}

func classes() [2]class {
	return [2]class{
		{
			name: "low", priority: 1, firstToken: 1800 * time.Millisecond, gap: 50 * time.Millisecond,
			deadline: 8 * time.Second, silence: 1500 * time.Millisecond,
			minPrompt: 200, maxProm: 1600, minTokens: 20, maxToks: 60,
		},
		{
			name: "high", priority: 5, firstToken: 400 * time.Millisecond, gap: 25 * time.Millisecond,
			deadline: 4 * time.Second, silence: 800 * time.Millisecond, reserved: 20,
			minPrompt: 100, maxProm: 800, minTokens: 8, maxToks: 40,
		},
	}
}

// customers are the shares of the traffic: two are large, two small.
func customers() []float64 { return []float64{0.36, 0.30, 0.20, 0.09, 0.05} }

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }
func modelName(i int) string    { return fmt.Sprintf("model-%02d", i) }
func adapterName(i int) string  { return fmt.Sprintf("adapter-%02d", i) }

// popularity is the share of a model in the demand.
func (d Deployment) popularity() []float64 {
	out := make([]float64, d.Models)
	for i := range out {
		out[i] = math.Pow(float64(i+1), -0.8)
	}
	return normalise(out)
}

func normalise(weights []float64) []float64 {
	sum := 0.0
	for _, w := range weights {
		sum += w
	}
	out := make([]float64, len(weights))
	for i, w := range weights {
		out[i] = w / sum
	}
	return out
}

// residency places copies of models on engines: two of each model, then more of
// those with the highest demand for a copy. It stands for placement, which is
// not part of these measurements, and does not change within a run.
func (d Deployment) residency() [][]int {
	popularity := d.popularity()
	copies := make([]int, d.Models)
	held := make([][]int, d.Engines)
	load := make([]float64, d.Engines)
	place := func(m int) bool {
		best := -1
		for e := range held {
			if len(held[e]) < modelsPerEngine && !slices.Contains(held[e], m) && (best < 0 || load[e] < load[best]) {
				best = e
			}
		}
		if best < 0 {
			return false
		}
		held[best] = append(held[best], m)
		load[best] += popularity[m] / 3
		copies[m]++
		return true
	}
	for range 2 {
		for m := range d.Models {
			place(m)
		}
	}
	for {
		order := make([]int, d.Models)
		for m := range order {
			order[m] = m
		}
		slices.SortStableFunc(order, func(a, b int) int {
			return -compare(popularity[a]/float64(copies[a]), popularity[b]/float64(copies[b]))
		})
		if !slices.ContainsFunc(order, place) {
			return held
		}
	}
}

func compare(a, b float64) int {
	switch {
	case a < b:
		return -1
	case a > b:
		return 1
	default:
		return 0
	}
}

func (d Deployment) adaptersOf(model int) []string {
	var out []string
	for a := model; a < d.Adapters; a += d.Models {
		out = append(out, adapterName(a))
	}
	return out
}

func (d Deployment) dataCentre(i int) string { return fmt.Sprintf("dc-%d", i%d.DataCentres) }

// document is the configuration. Rate is the sum of the customers' rates in
// tokens per second.
func (d Deployment) document(engines, services []string, keys []*statev1.Key, rate float64, baseline entry.Baseline) *statev1.Config {
	c := &statev1.Config{Keys: keys, Platform: &statev1.Platform{AdapterLoadsInFlight: d.AdapterKnee}}
	for _, k := range classes() {
		p := &statev1.Profile{
			Name: k.name, Priority: k.priority, FirstTokenMs: millis(k.firstToken), TokenGapMs: millis(k.gap),
			DeadlineMs: millis(k.deadline), SilenceMs: millis(k.silence), ReservedSharePercent: k.reserved,
		}
		if baseline.FIFO {
			p.ReservedSharePercent = 0
		}
		c.Profiles = append(c.Profiles, p)
	}
	for i, share := range customers() {
		c.Customers = append(c.Customers, &statev1.Customer{
			Name: customerName(i), RateTokensPerSecond: uint64(share * rate),
			BurstTokens: uint64(share * rate * burstSeconds), Weight: uint32(math.Round(share * 20)),
		})
	}
	for m := range d.Models {
		c.Models = append(c.Models, &statev1.Model{Name: modelName(m), Version: "1", MemoryMb: modelMemoryMB, Adapters: d.adaptersOf(m)})
		for _, k := range classes() {
			c.Routes = append(c.Routes, &statev1.Route{
				Name: modelName(m) + "-" + k.name, Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Model: modelName(m),
				Profile: k.name, Idempotent: true,
			})
		}
	}
	d.addEndpoints(c, engines, services)
	service := statev1.RouteKind_ROUTE_KIND_SERVICE
	c.Routes = append(c.Routes,
		&statev1.Route{Name: "status", Kind: service, PathPrefix: "/status", Pool: "service", Profile: "high", Idempotent: true},
		&statev1.Route{Name: "confirm", Kind: service, PathPrefix: "/confirm", Pool: "service", Profile: "high", RequireIdempotencyKey: true})
	return c
}

func (d Deployment) addEndpoints(c *statev1.Config, engines, services []string) {
	for i, held := range d.residency() {
		e := &statev1.Endpoint{
			Name: fmt.Sprintf("engine-%02d", i), Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: engines[i],
			DataCentre: d.dataCentre(i), MemoryMb: modelsPerEngine * modelMemoryMB, Slots: slots, Accelerators: 1,
		}
		for _, m := range held {
			e.PinnedModels = append(e.PinnedModels, modelName(m))
		}
		c.Endpoints = append(c.Endpoints, e)
	}
	for i, address := range services {
		c.Endpoints = append(c.Endpoints, &statev1.Endpoint{
			Name: fmt.Sprintf("service-%d", i), Kind: statev1.EndpointKind_ENDPOINT_KIND_SERVICE, Address: address,
			DataCentre: d.dataCentre(i), Pool: "service", Slots: serviceSlots,
		})
	}
}

func millis(d time.Duration) uint32 { return uint32(d / time.Millisecond) }
