package pool

import (
	"slices"

	peerv1 "github.com/radishloom/radishloom/api/peer/v1"
	"github.com/radishloom/radishloom/internal/coordination/directory"
)

// The brokers of the models of an engine tell each other what they have granted there.

// sharingBrokers returns the brokers of the other models at an endpoint.
func (b *Broker) sharingBrokers(e *endpoint) []string {
	var out []string
	for _, m := range e.Models {
		owner := b.owners.BrokerOf(b.now, modelKey{e.Service, m.Model})
		if owner != b.owners.self && !slices.Contains(out, owner) {
			out = append(out, owner)
		}
	}
	return out
}

// hasWaiting reports whether requests for any model at the endpoint wait for a
// slot there.
func (b *Broker) hasWaiting(e *endpoint) bool {
	return slices.ContainsFunc(e.Models, func(m directory.Resident) bool { return b.waiting[modelKey{e.Service, m.Model}] })
}

// waitingFor returns how many requests for models at the endpoint wait.
func (b *Broker) waitingFor(e *endpoint) int {
	n := 0
	for _, m := range e.Models {
		if q := b.queues[modelKey{e.Service, m.Model}]; q != nil {
			n += q.Len()
		}
	}
	return n
}

func (b *Broker) engineLoad(e *endpoint) *peerv1.EngineLoad {
	load := &peerv1.EngineLoad{
		Endpoint: e.ID, Requests: uint32(e.reserved.Requests), PromptTokens: uint32(e.reserved.PromptTokens), HeldTokens: uint32(e.reserved.HeldTokens), Waiting: b.hasWaiting(e),
	}
	if e.advice.Limited {
		load.Grants = e.grants
	}
	return load
}

// sendChanges sends changed loads to the brokers of the other models at those
// engines.
func (b *Broker) sendChanges() {
	updates := map[string]*peerv1.LoadUpdate{}
	for id := range b.table.changed {
		e := b.table.endpoints[id]
		if e == nil || len(e.Models) == 0 {
			continue
		}
		load := b.engineLoad(e)
		for _, to := range b.sharingBrokers(e) {
			if updates[to] == nil {
				updates[to] = &peerv1.LoadUpdate{}
			}
			updates[to].Engines = append(updates[to].Engines, load)
		}
	}
	clear(b.table.changed)
	b.sendUpdates(updates)
}

// refreshPeers sends all loads every refreshInterval, because updates can be
// lost and new brokers have no state.
func (b *Broker) refreshPeers() {
	if b.now-b.lastRefresh < refreshInterval {
		return
	}
	b.lastRefresh = b.now
	updates := map[string]*peerv1.LoadUpdate{}
	for _, e := range b.table.endpoints {
		if e.reserved.Requests == 0 && !b.hasWaiting(e) {
			continue
		}
		for _, to := range b.sharingBrokers(e) {
			if updates[to] == nil {
				updates[to] = &peerv1.LoadUpdate{Full: true}
			}
			updates[to].Engines = append(updates[to].Engines, b.engineLoad(e))
		}
	}
	b.sendUpdates(updates)
}

// sendUpdates adds updates to the pending messages. A full update replaces a
// pending one; otherwise newer loads are appended after older ones.
func (b *Broker) sendUpdates(updates map[string]*peerv1.LoadUpdate) {
	for to, u := range updates {
		m := b.out.messageTo(to)
		if m.Loads == nil || u.GetFull() {
			m.Loads = u
		} else {
			m.Loads.Engines = append(m.Loads.Engines, u.GetEngines()...)
		}
		b.seq++
		m.Loads.Seq = b.seq
	}
}

// applyLoads applies an update of another broker. Slots that became free there
// may serve requests that wait here.
func (b *Broker) applyLoads(from Sender, u *peerv1.LoadUpdate) {
	for endpoint, grants := range b.table.loads.Apply(b.now, from, u) {
		if e := b.table.endpoints[endpoint]; e != nil {
			b.table.spendLimit(b.now, e, float64(grants))
		}
	}
	for _, e := range u.GetEngines() {
		b.dispatchEndpoint(e.GetEndpoint())
	}
}
