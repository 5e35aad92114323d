package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/proptest"
)

// health is the expected state of an endpoint in the reference model.
type health struct {
	failures  int
	ejected   bool
	ejectedAt time.Duration
	probeAt   time.Duration
	backoff   time.Duration
	probing   int
	leaving   bool
	inFlight  int
	exclusive bool
}

type sent struct {
	reservation *Reservation
	at          time.Duration
	probe       bool
	exclusive   bool
	load        bool
}

// tableProperty compares the table with a reference model that counts failures and
// requests in flight.
func tableProperty(ignoreState bool) func(*rapid.T) {
	return func(t *rapid.T) {
		size := rapid.IntRange(1, 24).Draw(t, "size") // both sides of smallGroup
		table := New(func(n int) int { return rapid.IntRange(0, n-1).Draw(t, "random") })
		table.ignoreState = ignoreState
		known := map[string]*health{}
		var specs []Spec
		for i := range size {
			name := fmt.Sprintf("e%02d", i)
			specs = append(specs, Spec{Name: name, Groups: []string{"g"}, Slots: 3, Remote: i%2 == 0})
			known[name] = &health{}
		}
		const adapterLimit = 2
		table.Configure(specs, 1, adapterLimit)
		now := time.Duration(0)
		adapters := 0
		var open []sent
		endpoint := rapid.Custom(func(t *rapid.T) string { return specs[rapid.IntRange(0, size-1).Draw(t, "i")].Name })
		counts := func() (staying, ejected, loads int) {
			for _, h := range known {
				if !h.leaving {
					staying++
					if h.ejected {
						ejected++
					}
				}
			}
			for _, s := range open {
				if s.load {
					loads++
				}
			}
			return staying, ejected, loads
		}
		t.Repeat(map[string]func(*rapid.T){
			"pick": func(t *rapid.T) {
				q := Query{ID: 1, Group: "g", MayProbe: rapid.Bool().Draw(t, "probe"), HoldUntil: now}
				q.Exclusive = rapid.IntRange(0, 4).Draw(t, "exclusive") == 0
				if rapid.IntRange(0, 2).Draw(t, "adapter") == 0 {
					q.Adapter = fmt.Sprint("lora", adapters) // always a new one
					adapters++
				}
				if rapid.Bool().Draw(t, "excludes") {
					q.Exclude = []string{endpoint.Draw(t, "exclude")}
				}
				staying, ejected, loads := counts()
				window := map[string]int{}
				for _, st := range table.Status() {
					window[st.Name] = st.Window
				}
				k := table.Pick(now, q)
				if k == nil {
					refused := 0
					for name, h := range known {
						full := h.inFlight >= window[name] || h.exclusive || q.Exclusive && h.inFlight > 0 || slices.Contains(q.Exclude, name)
						if !h.leaving && !full {
							refused++
						}
					}
					if !q.Exclusive && refused > staying/2 && (q.Adapter == "" || loads < adapterLimit) {
						t.Fatalf("no endpoint was picked, although %d of the %d that are not leaving had a free slot", refused, staying)
					}
					return
				}
				h := known[k.Endpoint]
				due := h.ejected && h.probing == 0 && now >= h.probeAt
				switch {
				case h.leaving:
					t.Fatalf("picked %s, which is leaving", k.Endpoint)
				case h.ejected && !(due && q.MayProbe) && ejected <= staying/2:
					t.Fatalf("picked %s, which is ejected until %v at %v", k.Endpoint, h.probeAt, now)
				case slices.Contains(q.Exclude, k.Endpoint), h.exclusive, q.Exclusive && h.inFlight > 0, h.inFlight >= window[k.Endpoint]:
					t.Fatalf("picked %s, which the query excludes or which has no free slot: %+v, window %d", k.Endpoint, *h, window[k.Endpoint])
				case q.Adapter != "" && loads >= adapterLimit:
					t.Fatalf("%d adapter loads in flight, want at most %d", loads+1, adapterLimit)
				}
				h.inFlight++
				h.exclusive = q.Exclusive
				if due {
					h.probing++
				}
				open = append(open, sent{k, now, due, q.Exclusive, q.Adapter != ""})
			},
			"done": func(t *rapid.T) {
				if len(open) == 0 {
					t.Skip("nothing open")
				}
				i := rapid.IntRange(0, len(open)-1).Draw(t, "i")
				s := open[i]
				open = slices.Delete(open, i, i+1)
				// Mostly failures, so that ejections are common.
				o := rapid.SampledFrom([]Outcome{Neutral, Success, Failure, Failure, Failure, Refused}).Draw(t, "outcome")
				table.Done(now, s.reservation, o)
				h := known[s.reservation.Endpoint]
				h.inFlight--
				h.exclusive = h.exclusive && !s.exclusive
				if s.probe {
					h.probing--
				}
				switch {
				case o == Neutral || h.ejected && s.at < h.ejectedAt:
				case o == Success:
					h.failures, h.ejected = 0, false
				case h.ejected:
					h.backoff = min(2*h.backoff, 30*time.Second)
					h.probeAt = now + h.backoff
				default:
					h.failures++
					if h.failures >= 3 {
						h.ejected, h.ejectedAt, h.backoff, h.probeAt = true, now, time.Second, now+time.Second
					}
				}
			},
			"leaving": func(t *rapid.T) {
				name := endpoint.Draw(t, "endpoint")
				known[name].leaving = rapid.IntRange(0, 3).Draw(t, "leaving") == 0
				table.SetLeaving(name, FromPlatform, known[name].leaving)
			},
			"report": func(t *rapid.T) {
				// A good report must not restore an ejected endpoint.
				table.Report(now, endpoint.Draw(t, "endpoint"), &engine.Load{Slots: 3, Waiting: rapid.IntRange(0, 1).Draw(t, "waiting")})
			},
			"time": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				for _, st := range table.Status() {
					h := known[st.Name]
					if st.InFlight != h.inFlight || (st.State == Ejected) != (h.ejected && !h.leaving) || st.Window < 1 || st.Window > 3 {
						t.Fatalf("%+v, want %+v", st, *h)
					}
				}
			},
		})
	}
}

// Guards against new requests to leaving endpoints, requests other than probes to
// ejected endpoints while these are at most half of the group, and windows and
// adapter loads out of bounds. The subtest ignoreState verifies that the property
// fails if Pick uses leaving and ejected endpoints.
func TestPickRespectsEndpointState(t *testing.T) {
	proptest.Check(t, 100, 1, tableProperty(false))
	t.Run("ignoreState", func(t *testing.T) { proptest.MustFail(t, 100, 1, tableProperty(true)) })
}

// Guards against picking the busier of two endpoints, ignoring a cached prefix or
// keeping it after a gap in the events, giving old reports as much weight as new
// ones, a window that starts or grows wrongly, and sharing an endpoint with an
// exclusive request.
func TestPreferences(t *testing.T) {
	fresh := func(slots int) *Table {
		table := New(func(int) int { return 0 })
		table.Configure([]Spec{{Name: "a", Groups: []string{"g"}, Slots: slots}, {Name: "b", Groups: []string{"g"}, Slots: slots}}, 2, 0)
		return table
	}
	pick := func(table *Table, now time.Duration, q Query) string {
		q.Group = "g"
		k := table.Pick(now, q)
		if k == nil {
			return ""
		}
		table.Done(now, k, Neutral)
		return k.Endpoint
	}
	table := fresh(8)
	if k := table.Pick(0, Query{Group: "g", Exclude: []string{"b"}}); k.Endpoint != "a" || pick(table, 0, Query{}) != "b" {
		t.Error("the busier endpoint was picked")
	}
	table = fresh(8)
	table.Report(0, "a", &engine.Load{Slots: 8, Running: 8})
	if pick(table, 0, Query{}) != "b" {
		t.Error("a fresh report was ignored")
	}
	table.CacheEvents("a", []engine.CacheEvent{{Seq: 1, Prefix: 7}})
	if pick(table, 0, Query{Prefixes: []uint64{7}}) != "b" || pick(table, time.Minute, Query{Prefixes: []uint64{7}}) != "a" {
		t.Error("a new report must outweigh a cached prefix, an old one must not")
	}
	table = fresh(8)
	table.CacheEvents("b", []engine.CacheEvent{{Seq: 1, Prefix: 7}, {Seq: 3, Prefix: 8}})
	if table.endpoints["b"].prefixes.timeSaved([]uint64{7}) != 0 || table.endpoints["b"].prefixes.timeSaved([]uint64{8}) == 0 {
		t.Error("a gap in the events did not discard the prefixes known before it")
	}
	table = New(func(int) int { return 0 })
	var specs []Spec
	for i := range 12 {
		specs = append(specs, Spec{Name: fmt.Sprint(i), Groups: []string{"g"}})
	}
	table.Configure(specs, 1, 0)
	table.CacheEvents("9", []engine.CacheEvent{{Seq: 1, Prefix: 7}})
	if pick(table, 0, Query{Prefixes: []uint64{7}}) != "9" {
		t.Error("the only one of twelve endpoints with a cached prefix was not picked")
	}
	table = fresh(8) // window 4 of 8 slots for two entries
	for range 4 {
		table.Pick(0, Query{Group: "g", Exclude: []string{"b"}})
	}
	if table.Pick(0, Query{Group: "g", Exclude: []string{"b"}}) != nil {
		t.Error("the window starts above the share of slots of one entry")
	}
	table.Report(0, "a", &engine.Load{Slots: 8})
	if table.Pick(0, Query{Group: "g", Exclude: []string{"b"}}) == nil {
		t.Error("the window does not grow although it was full and no request was queued")
	}
	if table.Pick(0, Query{ID: 9, Group: "g", Exclusive: true, Exclude: []string{"b"}, HoldUntil: time.Hour}) != nil || pick(table, 0, Query{}) != "b" {
		t.Error("an endpoint that is held for an exclusive request takes others")
	}
	table = fresh(8)
	idle := Query{ID: 9, Exclusive: true, IdleEndpoint: true, HoldUntil: time.Hour}
	table.Report(0, "a", &engine.Load{Slots: 8, Running: 1})
	table.Report(0, "b", &engine.Load{Slots: 8, Running: 1})
	if pick(table, 0, idle) != "" || pick(table, 0, Query{}) == "" {
		t.Error("a request that needs an idle endpoint runs beside those of other entries, or keeps out those of this entry")
	}
	table.Report(time.Second, "b", &engine.Load{Slots: 8})
	if pick(table, time.Second, idle) != "b" || pick(table, time.Minute, idle) != "" {
		t.Error("an endpoint must count as idle only if a recent report says so")
	}
}
