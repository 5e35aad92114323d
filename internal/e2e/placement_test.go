package e2e

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	standinengine "github.com/radishloom/radishloom/internal/standin/engine"
)

// Guards against models that stay unreachable, and against overcommitted engine
// memory, after the leader is killed while models are being loaded.
func TestLeaderKilledDuringMoves(t *testing.T) {
	f := &fleet{t: t}
	f.startDaemons(3)
	const models = 6
	document := &statev1.Config{
		Profiles:  []*statev1.Profile{{Name: "p", Priority: 1, FirstTokenMs: 1000, TokenGapMs: 100, DeadlineMs: 30_000, SilenceMs: 2000}},
		Customers: []*statev1.Customer{{Name: "c", RateTokensPerSecond: 100_000, BurstTokens: 100_000}},
		Platform:  &statev1.Platform{StoreMilliLoadsPerSecond: 2000, StoreParallelLoads: 2},
	}
	var known []standinengine.Model
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		known = append(known, standinengine.Model{Name: name, Version: "1", MemoryMB: 1000})
		document.Models = append(document.Models, &statev1.Model{Name: name, Version: "1", MemoryMb: 1000})
		document.Routes = append(document.Routes, &statev1.Route{Name: name, Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Model: name, Profile: "p", Idempotent: true})
	}
	var engines []*standinengine.Engine
	for i := range 3 {
		// Each engine has memory for three models; a load takes one second.
		e, err := standinengine.Start("127.0.0.1:0", standinengine.Config{
			Models: known, MemoryMB: 3000, Slots: 8, MaxWaiting: 100, TokenTime: 2 * time.Millisecond,
			LoadTime: time.Second, ReportLag: 500 * time.Millisecond, ChecksFencing: true,
		})
		f.must(err)
		t.Cleanup(e.Close)
		engines = append(engines, e)
		document.Endpoints = append(document.Endpoints, &statev1.Endpoint{
			Name: fmt.Sprintf("e%d", i), Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: e.Addr(),
			DataCentre: "dc", MemoryMb: 3000, Slots: 8, Accelerators: 1, ChecksFencing: true,
		})
	}
	f.applyConfig(document)
	loaded := func() (n int) {
		for _, e := range engines {
			n += len(e.Resident())
		}
		return n
	}
	f.waitFor("the first load", func() bool { return loaded() > 0 })
	killed := f.leader()
	f.killDaemon(killed)
	var survivor *vm
	for _, v := range f.vms {
		if v != killed {
			survivor = v
		}
	}
	f.waitReady(survivor)
	for i := range models {
		body := fmt.Sprintf(`{"model":"m%d","stream":true,"max_tokens":3,"messages":[{"role":"user","content":"hi"}]}`, i)
		f.waitFor(fmt.Sprintf("model m%d is reachable", i), func() bool {
			return f.post(survivor, "/v1/chat/completions", f.key, "", body).complete(3)
		})
	}
	for i, e := range engines {
		if n := len(e.Resident()); n > 3 {
			t.Errorf("engine e%d holds %d models, its memory is for 3", i, n)
		}
	}
}

// Guards against new requests to an endpoint that is leaving, and against requests
// that fail because of its departure.
func TestLeavingEndpointGetsNoNewWork(t *testing.T) {
	f := &fleet{t: t}
	f.startDaemons(3)
	other, err := standinengine.Start("127.0.0.1:0", standinengine.Config{
		Models: []standinengine.Model{{Name: "m", Version: "1", MemoryMB: 1000}}, Resident: []string{"m"},
		MemoryMB: 10_000, Slots: 16, MaxWaiting: 100, TokenTime: 2 * time.Millisecond, ChecksFencing: true,
	})
	f.must(err)
	t.Cleanup(other.Close)
	document := &statev1.Config{
		Profiles:  []*statev1.Profile{{Name: "p", Priority: 1, FirstTokenMs: 1000, TokenGapMs: 100, DeadlineMs: 30_000, SilenceMs: 2000}},
		Customers: []*statev1.Customer{{Name: "c", RateTokensPerSecond: 100_000, BurstTokens: 100_000}},
		Models:    []*statev1.Model{{Name: "m", Version: "1", MemoryMb: 1000}},
		Routes:    []*statev1.Route{{Name: "chat", Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Model: "m", Profile: "p", Idempotent: true}},
	}
	for name, address := range map[string]string{"leaving": f.engine.Addr(), "staying": other.Addr()} {
		document.Endpoints = append(document.Endpoints, &statev1.Endpoint{
			Name: name, Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, Address: address, DataCentre: "dc",
			MemoryMb: 10_000, Slots: 16, Accelerators: 1, ChecksFencing: true, PinnedModels: []string{"m"},
		})
	}
	f.applyConfig(document)
	for _, v := range f.vms {
		f.waitReady(v)
	}
	f.waitFor("both engines are used", func() bool {
		f.chat(f.vms[0], 1)
		return f.engineState().Runs > 0 && standinState[standinengine.State](f, other.Addr()).Runs > 0
	})
	resp, err := http.Post("http://"+f.engine.Addr()+"/admin/leave", "", nil)
	f.must(err)
	f.must(resp.Body.Close())
	for _, v := range f.vms {
		f.waitFor(v.name+" reports the engine as leaving", func() bool { return f.endpointState(v, "leaving") == "leaving" })
	}
	before := f.engineState().Runs
	for i := range 30 {
		if r := f.chat(f.vms[i%3], 2); !r.complete(2) {
			t.Errorf("response %+v", r)
		}
	}
	if after := f.engineState().Runs; after != before {
		t.Errorf("the leaving engine received %d new requests", after-before)
	}
}

// endpointState returns the state of an endpoint that a VM reports, or "" if it
// reports none.
func (f *fleet) endpointState(v *vm, endpoint string) string {
	list, err := f.admin(v).ListEndpoints(context.Background(), &adminv1.ListEndpointsRequest{})
	if err != nil {
		return ""
	}
	for _, e := range list.GetEndpoints() {
		if e.GetEndpoint().GetName() == endpoint {
			return e.GetState()
		}
	}
	return ""
}
