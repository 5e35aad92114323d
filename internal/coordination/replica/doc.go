// Package replica keeps an entry's local replica of the fleet state: the
// configuration by version, the freshness lease, and the token leases of
// customers.
//
// An entry admits each request locally, without a call to the control role, yet
// a withdrawn key must stop working within seconds and no customer may exceed
// its rate across all VMs. Every local decision therefore depends on a lease
// that the control quorum granted. The lease is measured from the time at which
// the entry sent its request.
//
// Two kinds of calls run concurrently. A poll is a long poll: the control role
// holds it until the state changes. It renews the leases and returns
// configuration changes. A usage call reports charged tokens and requests
// tokens; it is never held, so that waiting requests get tokens within one round
// trip. A single call for both would delay tokens by up to the hold time of the
// poll. Usage reports are numbered, and a report is resent unchanged until it is
// acknowledged, so that a lost response neither loses nor repeats a charge.
//
// core and ledger are deterministic. Replica drives them and is safe for
// concurrent use: Replica.mu guards the core, and no callback or remote call is
// made while it is held.
package replica
