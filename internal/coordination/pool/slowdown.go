package pool

import (
	"time"

	"github.com/radishloom/radishloom/internal/coordination/speed"
)

// Expectation of the time from the grant of a slot at an engine to the first event.
// The tracker corrects it for each model, so only the proportions count.
const (
	// firstStepTime is the time besides the prefill: a step of the batch, and
	// messages.
	firstStepTime = 15 * time.Millisecond
	// prefillTime is the time for one prompt token.
	prefillTime = 40 * time.Microsecond
)

// slowdownInterval is how long a computed slowdown is used: the choice needs that of
// each endpoint for each waiting request.
const slowdownInterval = 20 * time.Millisecond

// maxSlotsRatio bounds the slots that an endpoint states, relative to those that the
// directory lists, in its cost. Otherwise an endpoint that states far more slots than it
// has would get all requests.
const maxSlotsRatio = 4

// costSlots returns the slots of a plain endpoint for its cost.
func (t *Table) costSlots(e *endpoint) float64 {
	slots := e.Slots
	if slots <= 0 {
		slots = t.usualSlots[e.Service]
	}
	if e.listedSlots > 0 {
		slots = min(slots, maxSlotsRatio*e.listedSlots)
	}
	return float64(max(1, slots))
}

// cachedSpeed is the slowdown of an endpoint as last computed, and until when it is
// used. It is unset while stated is false: most endpoints never state anything.
type cachedSpeed struct {
	slowdown float64
	until    time.Duration
	stated   bool
}

// slowdown returns how long work takes at an endpoint, relative to the usual: 1 if it
// states nothing.
func (t *Table) slowdown(now time.Duration, e *endpoint) float64 {
	if !e.speed.stated {
		return 1
	}
	if now >= e.speed.until {
		e.speed.slowdown, e.speed.until = t.speeds.Slowdown(now, e.ID), now+slowdownInterval
	}
	return e.speed.slowdown
}

// recordSlowdown records an endpoint's statement of how long work takes, if percent is
// positive.
func (t *Table) recordSlowdown(now time.Duration, e *endpoint, percent int) {
	if percent <= 0 || t.endpoints[e.ID] != e {
		return // nothing stated, or by an incarnation that has ended
	}
	t.speeds.Record(now, e.ID, percent)
	e.speed.stated = true
}

// ObserveResponse records how long an endpoint of a plain service took to respond to a
// request of a route, if the endpoint has no queue, by the load that it states with the
// response.
func (t *Table) ObserveResponse(now time.Duration, r *Reservation, route string, took time.Duration, l Load) {
	if l.SlowdownPercent <= 0 || l.Waiting > 0 || l.Running >= l.Slots || t.endpoints[r.EndpointID] != r.target {
		return
	}
	t.speeds.Observe(now, r.EndpointID, speed.Kind{Service: r.target.Service, Name: route}, took, time.Second)
}

// observeFirstEvent records how long an engine took to the first event of a request
// whose prompt was the only one to be read when the slot was granted.
func (t *Table) observeFirstEvent(now time.Duration, slot *grantedSlot) {
	e, prompt := slot.reservation.target, slot.reservation.usage.PromptTokens
	if !slot.onlyPrompt || prompt == 0 || t.endpoints[e.ID] != e {
		return
	}
	t.speeds.Observe(now, e.ID, speed.Kind{Service: e.Service, Name: slot.model}, now-slot.grantedAt, firstStepTime+time.Duration(prompt)*prefillTime)
}

// onlyPrompt reports whether the prompt of a reservation is the only one that is
// waiting to be read at its engine.
func (t *Table) onlyPrompt(now time.Duration, r *Reservation) bool {
	return t.totalUsage(now, r.target).PromptTokens == r.usage.PromptTokens
}
