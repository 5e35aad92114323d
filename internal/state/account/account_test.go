package account

import (
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

// charge is a number of tokens that an entry really used at a real time.
type charge struct{ at, tokens uint64 }

// limit is the customer's rate from a real time on.
type limit struct{ from, rate uint64 }

// world is one customer's account together with sessions that spend from it.
// Real time runs on while fleet time pauses.
type world struct {
	bank            *Bank
	real, now       uint64
	rate, burst     uint64
	maxBurst        uint64
	limits          []limit
	spent           []charge
	holders         []Holder
	balance, unsaid map[Holder]uint64
}

func (w *world) setLimits(rate, burst uint64) {
	w.rate, w.burst = rate, burst
	w.maxBurst = max(w.maxBurst, burst)
	w.limits = append(w.limits, limit{w.real, rate})
	w.bank.SetCustomers(w.now, []*statev1.Customer{{Name: "c", RateTokensPerSecond: rate, BurstTokens: burst}})
}

// allowance returns the rate summed over real time, in thousandths.
func (w *world) allowance(from, to uint64) uint64 {
	var sum uint64
	for i, l := range w.limits {
		end := to
		if i+1 < len(w.limits) {
			end = min(to, w.limits[i+1].from)
		}
		if start := max(from, l.from); start < end {
			sum += (end - start) * l.rate
		}
	}
	return sum
}

// check compares every window with the integral of the rate plus the burst.
func (w *world) check(t *rapid.T) {
	for i := range w.spent {
		var sum uint64
		for _, c := range w.spent[i:] {
			sum += c.tokens
			bound := w.allowance(w.spent[i].at, c.at) + w.maxBurst*milli
			if sum*milli > bound {
				t.Fatalf("%d tokens from %d ms to %d ms, allowed are %d thousandths", sum, w.spent[i].at, c.at, bound)
			}
		}
	}
}

func accountProperty(f fault) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := &world{bank: NewBank(), balance: map[Holder]uint64{}, unsaid: map[Holder]uint64{}}
		w.bank.fault = f
		w.setLimits(rapid.Uint64Range(1, 50).Draw(t, "rate"), uint64(100+choose(t, 2900)))
		w.holders = []Holder{{"a", "1"}, {"b", "1"}, {"c", "1"}}
		for range 10 + choose(t, 80) {
			w.step(t)
		}
		w.check(t)
	}
}

func (w *world) step(t *rapid.T) {
	h := w.holders[choose(t, len(w.holders))]
	switch choose(t, 9) {
	case 0, 1, 2:
		tokens := w.balance[h] * uint64(choose(t, 5)) / 4
		w.balance[h] -= tokens
		w.unsaid[h] += tokens
		w.spent = append(w.spent, charge{w.real, tokens})
	case 3, 4:
		returned := w.balance[h] * uint64(choose(t, 5)) / 4
		w.bank.Settle(w.now, h, "c", w.unsaid[h], returned)
		w.unsaid[h] = 0
		granted := w.bank.Grant(w.now, []Ask{{h, "c", uint64(1 + choose(t, 4000))}})
		w.balance[h] += granted[0].Granted - returned
		if got := granted[0].Outstanding; got != w.balance[h] {
			t.Fatalf("the account counts %d tokens as leased, the session holds %d", got, w.balance[h])
		}
	case 5, 6:
		d := []uint64{1, 100, 2_000, 60_000}[choose(t, 4)]
		w.real += d
		if choose(t, 4) > 0 {
			w.now += d
		}
	case 7:
		w.bank.WriteOff(w.now, h)
		w.balance[h], w.unsaid[h] = 0, 0
	default:
		w.setLimits(rapid.Uint64Range(1, 50).Draw(t, "rate"), uint64(100+choose(t, 2900)))
	}
	if level, outstanding := w.bank.Balance(w.now, "c"); level+outstanding > max(w.burst, outstanding) && w.bank.fault == 0 {
		t.Fatalf("level %d and outstanding %d exceed the burst %d", level, outstanding, w.burst)
	}
}

// Guards against tokens beyond rate x window + burst in any window.
func TestWindowsStayWithinRateAndBurst(t *testing.T) { fuzz(t, 1, accountProperty(0)) }

// Shows that the same test notices a second burst out of refunded holds.
func TestRefundBreaksTheBound(t *testing.T) { mustFail(t, 1, accountProperty(faultRefund)) }

// Guards against a customer that fills its burst by being removed and added,
// and against proportions that grant nothing to anybody.
func TestRemovedCustomerAndSmallShares(t *testing.T) {
	b := NewBank()
	customers := []*statev1.Customer{{Name: "c", RateTokensPerSecond: 1, BurstTokens: 5}}
	b.SetCustomers(0, customers)
	var asks []Ask
	for i := range 10 {
		asks = append(asks, Ask{Holder{"vm", string(rune('a' + i))}, "c", 1})
	}
	var sum uint64
	for _, g := range b.Grant(0, asks) {
		sum += g.Granted
	}
	if sum != 5 {
		t.Fatalf("granted %d of 5 tokens", sum)
	}
	for _, a := range asks {
		b.WriteOff(0, a.Holder)
	}
	b.SetCustomers(1, nil)
	b.SetCustomers(2, customers)
	if level, _ := b.Balance(2, "c"); level != 0 {
		t.Fatalf("level %d after removing and adding the customer", level)
	}
}
