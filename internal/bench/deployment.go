package bench

import (
	"fmt"
	"math"
	"slices"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/entry"
)

// Deployment describes the size of one user's fleet (section 1 of docs/design.md).
type Deployment struct {
	Name                                             string
	DataCentres, Engines, Models, Adapters, Services int
	// AdapterLoad is the load time of one adapter. AdapterLoadsInFlight is the
	// number of concurrent loads beyond which each load takes longer.
	AdapterLoad          time.Duration
	AdapterLoadsInFlight uint32
}

// North is the first deployment. Services counts service endpoints.
func North() Deployment {
	return Deployment{
		Name: "north", DataCentres: 3, Engines: 12, Models: 20, Adapters: 60, Services: 3,
		AdapterLoad: 8 * time.Millisecond, AdapterLoadsInFlight: 90,
	}
}

// Lima is the second deployment.
func Lima() Deployment {
	return Deployment{
		Name: "lima", DataCentres: 4, Engines: 9, Models: 13, Adapters: 55, Services: 4,
		AdapterLoad: 8 * time.Millisecond, AdapterLoadsInFlight: 15,
	}
}

const (
	entryCount = 9
	// engineSlots is the number of requests that an engine runs concurrently.
	engineSlots = 16
	// modelsPerEngine is the number of models that fit into the memory of an engine.
	modelsPerEngine = 5
	modelMemoryMB   = 10_000
	// tokenTime is the time per token of a request that runs alone; in a full batch
	// a token takes 21 ms.
	tokenTime = 16 * time.Millisecond
	// batchSlowdown is the fraction of tokenTime by which each further request in the
	// batch lengthens the time per token.
	batchSlowdown   = 0.02
	promptTokenTime = 400 * time.Microsecond
	reportLag       = 500 * time.Millisecond
	cacheLag        = 200 * time.Millisecond
	serviceDelay    = 20 * time.Millisecond
	serviceSlots    = 64
	// restartDelay is the time from the crash of an endpoint to its restart.
	restartDelay = 3 * time.Second
)

// profile describes one of the two request profiles of the traffic.
type profile struct {
	name                  string
	priority              int32
	firstToken, tokenGap  time.Duration // targets
	deadline, idleTimeout time.Duration
	reservedPercent       uint32
	minPrompt, maxPrompt  int // bytes of the prompt after the shared prefix
	minTokens, maxTokens  int
}

func profiles() [2]profile {
	return [2]profile{
		{
			name: "low", priority: 1, firstToken: 1800 * time.Millisecond, tokenGap: 50 * time.Millisecond,
			deadline: 8 * time.Second, idleTimeout: 1500 * time.Millisecond,
			minPrompt: 200, maxPrompt: 1600, minTokens: 20, maxTokens: 60,
		},
		{
			name: "high", priority: 5, firstToken: 400 * time.Millisecond, tokenGap: 25 * time.Millisecond,
			deadline: 4 * time.Second, idleTimeout: 800 * time.Millisecond, reservedPercent: 20,
			minPrompt: 100, maxPrompt: 800, minTokens: 8, maxTokens: 40,
		},
	}
}

// customers returns the share of each customer in the traffic: two are large, two
// small.
func customers() []float64 { return []float64{0.36, 0.30, 0.20, 0.09, 0.05} }

func customerName(i int) string { return fmt.Sprintf("customer-%d", i) }
func modelName(i int) string    { return fmt.Sprintf("model-%02d", i) }
func adapterName(i int) string  { return fmt.Sprintf("adapter-%02d", i) }

// popularity returns the share of each model in the demand.
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

// placeModels assigns model replicas to engines: two of each model, then more of
// the models with the highest demand per replica. It replaces dynamic placement,
// which is not part of these measurements, and does not change during a run.
func (d Deployment) placeModels() [][]int {
	popularity := d.popularity()
	replicas := make([]int, d.Models)
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
		replicas[m]++
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
			return -compare(popularity[a]/float64(replicas[a]), popularity[b]/float64(replicas[b]))
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

// document returns the configuration of the deployment. The rate is the sum of
// the customers' rates in tokens per second.
func (d Deployment) document(engines, services []string, keys []*statev1.Key, rate float64, baseline entry.Baseline) *statev1.Config {
	c := &statev1.Config{Keys: keys, Platform: &statev1.Platform{AdapterLoadsInFlight: d.AdapterLoadsInFlight}}
	for _, k := range profiles() {
		p := &statev1.Profile{
			Name: k.name, Priority: k.priority, FirstTokenMs: millis(k.firstToken), TokenGapMs: millis(k.tokenGap),
			DeadlineMs: millis(k.deadline), SilenceMs: millis(k.idleTimeout), ReservedSharePercent: k.reservedPercent,
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
		for _, k := range profiles() {
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
	for i, held := range d.placeModels() {
		e := &statev1.Endpoint{
			Name: fmt.Sprintf("engine-%02d", i), Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: engines[i],
			DataCentre: d.dataCentre(i), MemoryMb: modelsPerEngine * modelMemoryMB, Slots: engineSlots, Accelerators: 1,
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
