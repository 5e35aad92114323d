package quota

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/radishloom/radishloom/internal/proptest"
)

// quotaProperty runs a lease, waiters and holds against plain sums: no token is
// created or lost, and no request is served before one that precedes it in the
// order of the queue.
func quotaProperty(overtaking bool) func(*rapid.T) {
	return func(t *rapid.T) {
		b := NewWaitQueue()
		b.overtaking = overtaking
		var available, granted, charged uint64
		var waiting []*Waiter // in order of arrival
		var holds []*Hold
		now := time.Duration(0)
		id := uint64(0)
		hold := func(n uint64) bool {
			if available < n {
				return false
			}
			available -= n
			return true
		}
		start := func(w *Waiter) {
			for _, o := range waiting {
				late := o.OnTargetUntil < now && w.OnTargetUntil >= now
				early := o.OnTargetUntil >= now && w.OnTargetUntil < now
				if o.Priority > w.Priority || o.Priority == w.Priority && (early || !late && o.ID < w.ID) {
					t.Fatalf("request %d (priority %d) was served before %d (priority %d)", w.ID, w.Priority, o.ID, o.Priority)
				}
			}
			holds = append(holds, &Hold{Tokens: w.Tokens})
		}
		drop := func(w *Waiter) { waiting = slices.DeleteFunc(waiting, func(o *Waiter) bool { return o == w }) }
		t.Repeat(map[string]func(*rapid.T){
			"arrive": func(t *rapid.T) {
				id++
				w := &Waiter{
					OnTargetUntil: now + time.Duration(rapid.IntRange(0, 5).Draw(t, "fresh"))*time.Second,
					ID:            id, Customer: "a", Priority: rapid.Int32Range(0, 2).Draw(t, "priority"),
					Tokens: rapid.Uint64Range(1, 50).Draw(t, "tokens"), LatestStart: now + time.Duration(rapid.IntRange(0, 20).Draw(t, "until"))*time.Second,
				}
				if b.WouldBeFirst(w, now) && hold(w.Tokens) {
					start(w)
					return
				}
				limits := Limits{RatePerSecond: 20, Burst: 100}
				ahead := w.Tokens
				for _, o := range waiting {
					if o.Priority > w.Priority || o.Priority == w.Priority && o.OnTargetUntil >= now {
						ahead += o.Tokens
					}
				}
				if expires := ahead > 100+20*uint64((w.LatestStart-now)/time.Second); expires != b.WouldExpire(w, limits, now) {
					t.Fatalf("would expire: %v, with %d tokens including those ahead of it", !expires, ahead)
				}
				b.Add(w)
				waiting = append(waiting, w)
			},
			"grant": func(t *rapid.T) {
				n := rapid.Uint64Range(0, 80).Draw(t, "granted")
				granted += n
				available += n
				for _, w := range b.Serve("a", now, hold) {
					drop(w)
					start(w)
				}
				if len(waiting) > 0 && b.WouldBeFirst(&Waiter{Customer: "a", OnTargetUntil: now - 1}, now) && !overtaking {
					t.Fatal("a request waits, but a new one would be first")
				}
			},
			"charge": func(t *rapid.T) {
				if len(holds) == 0 {
					t.Skip("no hold")
				}
				charged += rapid.SampledFrom(holds).Draw(t, "hold").Charge(rapid.Uint64Range(0, 40).Draw(t, "used"))
			},
			"release": func(t *rapid.T) {
				if len(holds) == 0 {
					t.Skip("no hold")
				}
				h := holds[0]
				holds = holds[1:]
				available += h.Unused()
			},
			"expire": func(t *rapid.T) {
				now += time.Second
				for _, w := range b.Expire(now) {
					if w.LatestStart >= now {
						t.Fatal("a request expired before its latest start")
					}
					drop(w)
				}
			},
			"leave": func(t *rapid.T) {
				if len(waiting) == 0 {
					t.Skip("no request waits")
				}
				w := rapid.SampledFrom(waiting).Draw(t, "waiter")
				if !b.Remove(w) || b.Remove(w) {
					t.Fatal("a request was not removed exactly once")
				}
				drop(w)
			},
			"": func(t *rapid.T) {
				sum, want := available+charged, uint64(0)
				for _, h := range holds {
					sum += h.Unused()
				}
				for _, w := range waiting {
					want += w.Tokens
				}
				if sum != granted || b.WaitingTokens("a") != want {
					t.Fatalf("%d of %d granted tokens accounted for; waiting for %d tokens, want %d", sum, granted, b.WaitingTokens("a"), want)
				}
			},
		})
	}
}

// Guards against tokens that are created or lost, and against waiting requests
// that are served out of order.
func TestQuota(t *testing.T) {
	proptest.Check(t, 100, 1, quotaProperty(false))
	t.Run("overtaking", func(t *testing.T) { proptest.MustFail(t, 100, 1, quotaProperty(true)) })
	b, none := NewWaitQueue(), func(uint64) bool { return false }
	for id, fresh := range []time.Duration{time.Second, 3 * time.Second} {
		b.Add(&Waiter{ID: uint64(id), Customer: "a", Tokens: 1, OnTargetUntil: fresh, LatestStart: time.Minute})
	}
	b.Serve("a", 0, none)
	if served := b.Serve("a", 2*time.Second, func(uint64) bool { return true }); len(served) != 2 || served[0].ID != 1 {
		t.Fatal("a request that missed its target was served before one that can meet it")
	}
	h := Hold{Tokens: 10}
	if h.Charge(8) != 8 || h.Charge(8) != 2 || h.Uncharged != 6 || h.Unused() != 0 || FitsBurst(11, Limits{Burst: 10}) {
		t.Fatal("more tokens were charged than held, or a request beyond the burst was accepted")
	}
}
