package pool

import peerv1 "github.com/radishloom/radishloom/api/peer/v1"

// maxStatedEndpoints bounds the endpoints of one report to the control VMs.
const maxStatedEndpoints = 256

// statedSlowdown adds up what an endpoint stated in its answers to this entry.
type statedSlowdown struct{ percent, answers uint64 }

// recordStated counts a statement for the next report to the control VMs.
func (t *Table) recordStated(e *endpoint, percent int) {
	if percent <= 0 || (t.stated[e.ID].answers == 0 && len(t.stated) >= maxStatedEndpoints) {
		return
	}
	sum := t.stated[e.ID]
	sum.percent += uint64(min(percent, maxStatedPercent))
	sum.answers++
	t.stated[e.ID] = sum
}

// maxStatedPercent bounds a single statement.
const maxStatedPercent = 2000

// TakeSlowdowns returns what endpoints stated since the last call.
func (t *Table) TakeSlowdowns() []*peerv1.EndpointSlowdown {
	out := make([]*peerv1.EndpointSlowdown, 0, len(t.stated))
	for id, sum := range t.stated {
		out = append(out, &peerv1.EndpointSlowdown{Endpoint: id, Percent: uint32(sum.percent / sum.answers), Answers: uint32(sum.answers)})
	}
	clear(t.stated)
	return out
}
