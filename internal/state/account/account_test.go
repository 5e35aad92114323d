package account

import (
	"testing"

	"pgregory.net/rapid"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/proptest"
)

// simulation is one customer's account with sessions that spend from it. Fleet
// time may pause while real time continues.
type simulation struct {
	bank                *Bank
	realMs, nowMs       uint64
	burst               uint64
	integral            proptest.RateLimitOracle
	holders             []Holder
	balance, unreported map[Holder]uint64
}

func (sim *simulation) setLimits(rate, burst uint64) {
	sim.burst = burst
	sim.integral.Limit(sim.realMs, rate, burst)
	sim.bank.SetCustomers(sim.nowMs, []*statev1.Customer{{Name: "c", RateTokensPerSecond: rate, BurstTokens: burst}})
}

func accountProperty(f fault) func(t *rapid.T) {
	return func(t *rapid.T) {
		sim := &simulation{bank: NewBank(), balance: map[Holder]uint64{}, unreported: map[Holder]uint64{}}
		sim.bank.fault = f
		sim.setLimits(rapid.Uint64Range(1, 50).Draw(t, "rate"), uint64(100+proptest.IntN(t, 2900)))
		sim.holders = []Holder{{"a", "1"}, {"b", "1"}, {"c", "1"}}
		for range 10 + proptest.IntN(t, 80) {
			sim.step(t)
		}
		sim.integral.Verify(t)
	}
}

func (sim *simulation) step(t *rapid.T) {
	h := sim.holders[proptest.IntN(t, len(sim.holders))]
	switch proptest.IntN(t, 9) {
	case 0, 1, 2:
		tokens := sim.balance[h] * uint64(proptest.IntN(t, 5)) / 4
		sim.balance[h] -= tokens
		sim.unreported[h] += tokens
		sim.integral.Spend(sim.realMs, tokens)
	case 3, 4:
		returned := sim.balance[h] * uint64(proptest.IntN(t, 5)) / 4
		sim.bank.Settle(sim.nowMs, h, "c", sim.unreported[h], returned)
		sim.unreported[h] = 0
		granted := sim.bank.Grant(sim.nowMs, []Ask{{h, "c", uint64(1 + proptest.IntN(t, 4000))}})
		sim.balance[h] += granted[0].Granted - returned
		if got := granted[0].Outstanding; got != sim.balance[h] {
			t.Fatalf("the account counts %d tokens as leased, the session holds %d", got, sim.balance[h])
		}
	case 5, 6:
		d := []uint64{1, 100, 2_000, 60_000}[proptest.IntN(t, 4)]
		sim.realMs += d
		if proptest.IntN(t, 4) > 0 {
			sim.nowMs += d
		}
	case 7:
		sim.bank.WriteOff(sim.nowMs, h)
		sim.balance[h], sim.unreported[h] = 0, 0
	default:
		sim.setLimits(rapid.Uint64Range(1, 50).Draw(t, "rate"), uint64(100+proptest.IntN(t, 2900)))
	}
	if level, outstanding := sim.bank.Balance(sim.nowMs, "c"); level+outstanding > max(sim.burst, outstanding) && sim.bank.fault == 0 {
		t.Fatalf("level %d and outstanding tokens %d exceed the burst %d", level, outstanding, sim.burst)
	}
}

// Guards against spending more than rate x window + burst in any window.
func TestWindowsStayWithinRateAndBurst(t *testing.T) { proptest.Check(t, 500, 1, accountProperty(0)) }

// Requires the property to fail when refunds let a customer spend a second burst.
func TestRefundBreaksTheBound(t *testing.T) {
	proptest.MustFail(t, 500, 1, accountProperty(faultRefund))
}

// Guards against a full burst for a customer that is removed and added again,
// and against proportional shares that all round down to zero.
func TestRemovedCustomerAndSmallShares(t *testing.T) {
	b := NewBank()
	customers := []*statev1.Customer{{Name: "c", RateTokensPerSecond: 1, BurstTokens: 5}}
	b.SetCustomers(0, customers)
	var requests []Ask
	for i := range 10 {
		requests = append(requests, Ask{Holder{"vm", string(rune('a' + i))}, "c", 1})
	}
	var sum uint64
	for _, g := range b.Grant(0, requests) {
		sum += g.Granted
	}
	if sum != 5 {
		t.Fatalf("granted %d of 5 tokens", sum)
	}
	for _, a := range requests {
		b.WriteOff(0, a.Holder)
	}
	b.SetCustomers(1, nil)
	b.SetCustomers(2, customers)
	if level, _ := b.Balance(2, "c"); level != 0 {
		t.Fatalf("level %d after removing and adding the customer", level)
	}
}
