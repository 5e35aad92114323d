package e2e

import (
	"context"
	"fmt"
	"testing"
	"time"

	adminv1 "github.com/radishloom/radishloom/api/admin/v1"
	statev1 "github.com/radishloom/radishloom/api/state/v1"
	standinengine "github.com/radishloom/radishloom/internal/standin/engine"
)

// Guards against models that stay unreachable, or engine memory that is
// overcommitted, when the leader is killed in the middle of model moves.
func TestLeaderKilledDuringMoves(t *testing.T) {
	f := &fleet{t: t}
	f.run(3)
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
		// Room for three models on each engine; a load takes a second.
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
	f.change(func(ctx context.Context, a adminv1.Admin) error {
		r, err := a.ApplyConfig(ctx, &adminv1.ApplyConfigRequest{RequestId: "setup", Change: &statev1.ConfigChange{Replace: document}})
		if err == nil && r.GetCode() != 0 {
			t.Fatalf("configuration refused: %v", r)
		}
		return err
	})
	f.change(func(ctx context.Context, a adminv1.Admin) error {
		r, err := a.CreateKey(ctx, &adminv1.CreateKeyRequest{RequestId: "key", Customer: "c"})
		f.key = r.GetSecret()
		return err
	})
	loaded := func() (n int) {
		for _, e := range engines {
			n += len(e.Resident())
		}
		return n
	}
	f.waitFor("the first load", func() bool { return loaded() > 0 })
	killed := f.leader()
	f.kill(killed)
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
			return f.post(survivor, "/v1/chat/completions", f.key, "", body).whole(3)
		})
	}
	for i, e := range engines {
		if n := len(e.Resident()); n > 3 {
			t.Errorf("engine e%d holds %d models, room is for 3", i, n)
		}
	}
}
