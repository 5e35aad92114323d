package enginehttp

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/routing"
	"github.com/radishloom/radishloom/internal/resultcode"
	standin "github.com/radishloom/radishloom/internal/standin/engine"
)

// eventually waits until f returns true; on a busy machine that may take long.
func eventually(t *testing.T, what string, f func() bool) {
	t.Helper()
	for end := time.Now().Add(20 * time.Second); !f(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("condition not reached in time: %s", what)
		}
	}
}

// Guards against lost or duplicate events after a resume, and against a failed
// resume that reports "not run" for a request that ran.
func TestResume(t *testing.T) {
	f := start(t, standin.Config{})
	for i, faults := range []standin.Faults{{CutAt: 4, Times: 1}, {SilentAt: 4, Times: 1}, {CutAt: 4, Repeat: true}} {
		f.standin.SetFaults(faults)
		req := request(fmt.Sprintf("r%d", i), 9, true)
		s, err := f.engine.Open(context.Background(), f.to, req)
		if err != nil {
			t.Fatal(err)
		}
		head, events, err := drain(s)
		_ = s.Close()
		if err == nil || events != 3 {
			t.Fatalf("%d events, %v", events, err)
		}
		req.ResumeFrom, req.FreshConnection, req.Incarnation = events, true, s.Incarnation()
		if s, err = f.engine.Open(context.Background(), f.to, req); err != nil {
			t.Fatal(err)
		}
		rest, _, err := drain(s)
		_ = s.Close()
		if err != nil || head+rest != wantText(req.Body, 0, 9) || f.standin.Runs(req.ID) != 1 {
			t.Fatalf("%q + %q of %d runs, %v", head, rest, f.standin.Runs(req.ID), err)
		}
		if f.standin.Cancelled(req.ID) != 0 {
			t.Fatal("a broken stream was cancelled at the engine before it could be resumed")
		}
	}
	req := request("unknown", 9, true)
	req.ResumeFrom = 3
	_, err := f.engine.Open(context.Background(), f.to, req)
	wantCode(t, err, resultcode.StreamBroken)
	f.standin.Close()
	_, err = f.engine.Open(context.Background(), f.to, req)
	wantCode(t, err, resultcode.StreamBroken)
}

// Guards against a stream that is continued by another incarnation of the engine at the
// same address: what two versions generate does not fit into one stream. The second case
// is an engine that continues what it did not begin, against the protocol.
func TestRestartedEngineDoesNotContinueAStream(t *testing.T) {
	for name, faults := range map[string]standin.Faults{"as in the protocol": {}, "continues unknown streams": {ResumeUnknown: true}} {
		t.Run(name, func(t *testing.T) {
			f := start(t, standin.Config{TokenTime: time.Millisecond})
			req := request("r1", 1<<20, true)
			s, err := f.engine.Open(t.Context(), f.to, req)
			if err != nil {
				t.Fatal(err)
			}
			if _, err := s.Next(t.Context()); err != nil {
				t.Fatal(err)
			}
			f.standin.Crash()
			_, more, err := drain(s)
			if err == nil {
				t.Fatal("the stream outlived its engine")
			}
			_ = s.Close()
			eventually(t, "a restart", func() bool { return f.standin.Restart() == nil })
			f.standin.SetFaults(faults)
			req.ResumeFrom, req.FreshConnection, req.Incarnation = 1+more, true, s.Incarnation()
			_, err = f.engine.Open(t.Context(), f.to, req)
			wantCode(t, err, resultcode.StreamBroken)
		})
	}
}

// Guards against requests that keep running in an engine after their caller has
// closed the stream or cancelled its context.
func TestCancel(t *testing.T) {
	f := start(t, standin.Config{TokenTime: time.Millisecond})
	ctx, cancel := context.WithCancel(context.Background())
	for id, leave := range map[string]func(engine.Stream){
		"closed":    func(s engine.Stream) { _ = s.Close() },
		"cancelled": func(s engine.Stream) { cancel(); _, _, _ = drain(s); _ = s.Close() },
	} {
		s, err := f.engine.Open(ctx, f.to, request(id, 1<<20, true))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.Next(context.Background()); err != nil {
			t.Fatal(err)
		}
		leave(s)
		eventually(t, id+" at the engine", func() bool { return f.standin.Cancelled(id) == 1 })
		if id == "cancelled" {
			ctx, cancel = context.WithCancel(context.Background())
		}
	}
	cancel()
	if err := f.engine.Cancel(context.Background(), f.to, "unknown"); err != nil {
		t.Fatal(err)
	}
	ended, end := context.WithCancel(context.Background())
	s, err := f.engine.Open(context.Background(), f.to, request("next", 1<<20, true))
	if err != nil {
		t.Fatal(err)
	}
	end()
	for err == nil {
		_, err = s.Next(ended)
	}
	wantCode(t, err, resultcode.CallerGone)
	_ = s.Close()
	eventually(t, "an idle engine", func() bool { l, err := f.engine.Load(context.Background(), f.to); return err == nil && l.Running == 0 })
}

// Guards against an idle timeout while an engine works on a response that is not
// streamed, and against a priority that does not reach the engine.
func TestResponseSlowerThanIdleTimeout(t *testing.T) {
	f := start(t, standin.Config{TokenTime: 10 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Slots: 1})
	// On a busy machine heartbeats come up to some hundred milliseconds late, so both times
	// are long.
	req := request("r1", 300, false)
	req.IdleTimeout = time.Second
	req.Priority = 7
	if _, err := f.engine.Do(context.Background(), f.to, req); err != nil {
		t.Fatal(err)
	}
	if seen := f.standin.RecordedRequests()[0]; !strings.Contains(seen, "X-Priority: 7\r\n") {
		t.Fatalf("request %q", seen)
	}
}

// Guards against a wrong outcome of an order: done, refused or unknown.
func TestOrders(t *testing.T) {
	f := start(t, standin.Config{MemoryMB: 3000, ChecksFencing: true, LoadTime: 10 * time.Millisecond})
	load := engine.Order{ID: 1, FencingToken: 5, Lifetime: time.Minute, Kind: engine.LoadModel, Model: "big", Version: "2", MemoryMB: 2000}
	for _, tt := range []struct {
		name string
		edit func(*engine.Order)
		code resultcode.Code
	}{
		{"load", func(*engine.Order) {}, resultcode.OK},
		{"the same again", func(*engine.Order) {}, resultcode.OK},
		{"old token", func(o *engine.Order) { o.ID, o.FencingToken = 2, 4 }, resultcode.FencingTokenOld},
		{"too large", func(o *engine.Order) { o.ID, o.Model = 3, "other" }, resultcode.MemoryOvercommitted},
		{"unknown kind", func(o *engine.Order) { o.ID, o.Kind = 4, 99 }, resultcode.EndpointRefused},
		{"adapter", func(o *engine.Order) { o.ID, o.Kind, o.Adapter = 5, engine.LoadAdapter, "a" }, resultcode.OK},
		{"role", func(o *engine.Order) { o.ID, o.Kind, o.Role = 6, engine.SetRole, "prefill" }, resultcode.OK},
		{"unload", func(o *engine.Order) { o.ID, o.Kind, o.Model = 7, engine.UnloadModel, "m" }, resultcode.OK},
	} {
		o := load
		tt.edit(&o)
		if err := f.engine.Order(context.Background(), f.to, o); resultcode.Of(err) != tt.code {
			t.Errorf("%s: %v, want %s", tt.name, err, tt.code)
		}
	}
	l, err := f.engine.Load(context.Background(), f.to)
	want := []engine.ResidentModel{{Model: "big", Version: "2", MemoryMB: 2000, Ready: true}}
	if err != nil || !slices.Equal(l.Resident, want) || l.FencingToken != 5 || !slices.Equal(l.Adapters, []string{"a"}) || f.standin.Role() != "prefill" {
		t.Errorf("load %+v, %v", l, err)
	}
	f.standin.SetFaults(standin.Faults{LoseOrderAnswer: true})
	load.ID, load.Kind = 8, engine.UnloadModel
	wantCode(t, f.engine.Order(context.Background(), f.to, load), resultcode.EndpointLost)
	f.standin.SetFaults(standin.Faults{OrderDelay: 30 * time.Millisecond})
	load.ID, load.Lifetime = 9, time.Millisecond
	wantCode(t, f.engine.Order(context.Background(), f.to, load), resultcode.EndpointRefused)
}

// Guards against wrong decoding of reports: stale load reports, a leaving engine,
// gaps in cache events.
func TestReports(t *testing.T) {
	f := start(t, standin.Config{CacheGap: 3, CacheBlocks: 4})
	ctx := context.Background()
	req := request(strings.Repeat("x", 6<<10), 1, false)
	if _, err := f.engine.Do(ctx, f.to, engine.Request{ID: "r1", Path: req.Path, Body: req.Body}); err != nil {
		t.Fatal(err)
	}
	events, err := f.engine.CacheEvents(ctx, f.to, 1)
	if err != nil || len(events) < 4 || events[0].Seq != 2 || events[1].Seq != 4 || events[0].Prefix != routing.Prefixes(req.Body)[1] || !events[len(events)-1].Evicted {
		t.Fatalf("cache events %+v, %v", events, err)
	}
	f.standin.SetLeaving(true)
	if l, err := f.engine.Load(ctx, f.to); err != nil || !l.Leaving || l.Slots != 8 {
		t.Fatalf("load %+v, %v", l, err)
	}
	wantCode(t, f.run(request("r2", 1, false)), resultcode.EndpointRefused)
	lagging := start(t, standin.Config{ReportLag: time.Hour})
	lagging.standin.SetLeaving(true)
	if l, err := lagging.engine.Load(ctx, lagging.to); err != nil || l.Leaving {
		t.Fatalf("lagging load %+v, %v", l, err)
	}
}

// Guards against a truncated KV cache, and against one that is exported for an
// unknown request.
func TestKV(t *testing.T) {
	f, g := start(t, standin.Config{}), start(t, standin.Config{})
	ctx := context.Background()
	if err := f.run(request("r1", 5, false)); err != nil {
		t.Fatal(err)
	}
	export := func(f *fixture, id string) []byte {
		kv, err := f.engine.ExportKV(ctx, f.to, id)
		if err != nil {
			t.Fatal(err)
		}
		defer kv.Close() // never fails
		out, err := io.ReadAll(kv)
		if err != nil {
			t.Fatal(err)
		}
		return out
	}
	want := export(f, "r1")
	if err := g.engine.ImportKV(ctx, g.to, "r2", bytes.NewReader(want)); err != nil {
		t.Fatal(err)
	}
	if got := export(g, "r2"); !bytes.Equal(got, want) || len(got) == 0 {
		t.Fatalf("exported %d bytes after the import, want %d", len(got), len(want))
	}
	_, err := f.engine.ExportKV(ctx, f.to, "unknown")
	wantCode(t, err, resultcode.EndpointLost)
}
