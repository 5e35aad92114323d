package account

import (
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// world is one customer's account together with sessions that spend from it.
// Real time runs on while fleet time pauses.
type world struct {
	bank            *Bank
	real, now       uint64
	burst           uint64
	integral        proptest.Integral
	holders         []Holder
	balance, unsaid map[Holder]uint64
}

func (w *world) setLimits(rate, burst uint64) {
	w.burst = burst
	w.integral.Limit(w.real, rate, burst)
	w.bank.SetCustomers(w.now, []*statev1.Customer{{Name: "c", RateTokensPerSecond: rate, BurstTokens: burst}})
}

func accountProperty(f fault) func(t *rapid.T) {
	return func(t *rapid.T) {
		w := &world{bank: NewBank(), balance: map[Holder]uint64{}, unsaid: map[Holder]uint64{}}
		w.bank.fault = f
		w.setLimits(rapid.Uint64Range(1, 50).Draw(t, "rate"), uint64(100+proptest.Choose(t, 2900)))
		w.holders = []Holder{{"a", "1"}, {"b", "1"}, {"c", "1"}}
		for range 10 + proptest.Choose(t, 80) {
			w.step(t)
		}
		w.integral.Verify(t)
	}
}

func (w *world) step(t *rapid.T) {
	h := w.holders[proptest.Choose(t, len(w.holders))]
	switch proptest.Choose(t, 9) {
	case 0, 1, 2:
		tokens := w.balance[h] * uint64(proptest.Choose(t, 5)) / 4
		w.balance[h] -= tokens
		w.unsaid[h] += tokens
		w.integral.Spend(w.real, tokens)
	case 3, 4:
		returned := w.balance[h] * uint64(proptest.Choose(t, 5)) / 4
		w.bank.Settle(w.now, h, "c", w.unsaid[h], returned)
		w.unsaid[h] = 0
		granted := w.bank.Grant(w.now, []Ask{{h, "c", uint64(1 + proptest.Choose(t, 4000))}})
		w.balance[h] += granted[0].Granted - returned
		if got := granted[0].Outstanding; got != w.balance[h] {
			t.Fatalf("the account counts %d tokens as leased, the session holds %d", got, w.balance[h])
		}
	case 5, 6:
		d := []uint64{1, 100, 2_000, 60_000}[proptest.Choose(t, 4)]
		w.real += d
		if proptest.Choose(t, 4) > 0 {
			w.now += d
		}
	case 7:
		w.bank.WriteOff(w.now, h)
		w.balance[h], w.unsaid[h] = 0, 0
	default:
		w.setLimits(rapid.Uint64Range(1, 50).Draw(t, "rate"), uint64(100+proptest.Choose(t, 2900)))
	}
	if level, outstanding := w.bank.Balance(w.now, "c"); level+outstanding > max(w.burst, outstanding) && w.bank.fault == 0 {
		t.Fatalf("level %d and outstanding %d exceed the burst %d", level, outstanding, w.burst)
	}
}

// Guards against tokens beyond rate x window + burst in any window.
func TestWindowsStayWithinRateAndBurst(t *testing.T) { proptest.Check(t, 500, 1, accountProperty(0)) }

// Shows that the same test notices a second burst out of refunded holds.
func TestRefundBreaksTheBound(t *testing.T) {
	proptest.MustFail(t, 500, 1, accountProperty(faultRefund))
}

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
