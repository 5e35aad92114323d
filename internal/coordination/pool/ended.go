package pool

import (
	"time"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
)

// endedTime is how long a broker remembers requests that have ended. Copies of a
// request may arrive as late.
const endedTime = 500 * time.Millisecond

// endedRequest is a request for a slot that has ended.
type endedRequest struct {
	at time.Duration
	// refusal is nil unless the request was refused.
	refusal *peerv1.PlaceAnswer
}

// recordEnded remembers the end of a request for a model on engines that warm up. A
// late copy of it would be queued again, as the oldest one, and take a permit for which
// nobody waits any more.
func (b *Broker) recordEnded(key requestKey, service, model string, refusal *peerv1.PlaceAnswer) {
	for _, e := range b.table.byModel[modelKey{service, model}] {
		if e.warming(b.now) {
			b.ended[key] = endedRequest{b.now, refusal}
			return
		}
	}
}

// recordWithdrawn remembers the withdrawal of a request that has not arrived yet.
func (b *Broker) recordWithdrawn(key requestKey, r *peerv1.PlaceReport) {
	if r.GetReleased() && b.table.Warming(b.now) > 0 {
		b.ended[key] = endedRequest{b.now, nil}
	}
}

// answerEnded reports whether a request has ended, and answers it again if it was
// refused.
func (b *Broker) answerEnded(key requestKey) bool {
	ended, known := b.ended[key]
	if !known {
		return false
	}
	if ended.refusal != nil {
		b.out.answer(key.from.Address, ended.refusal)
	}
	return true
}

func (b *Broker) forgetEnded() {
	for key, ended := range b.ended {
		if b.now-ended.at > endedTime {
			delete(b.ended, key)
		}
	}
}
