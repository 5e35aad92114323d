// Package replica is an entry's copy of the fleet state: the configuration by
// version, the freshness lease, and the token leases of customers.
//
// Problem: an entry decides on each request without asking anybody, yet a
// withdrawn key must stop working within seconds and no customer may exceed
// its rate over all VMs. Everything that an entry decides by therefore rests on
// a lease that descends from the quorum and is measured from the time at which
// the entry sent its request.
//
// Two kinds of calls run side by side. A poll is held open by the control role
// until the state changes; it renews the leases and brings configuration. A
// usage call reports charges and asks for tokens; it is never held, so that
// waiting requests get tokens within a round trip. Reports are numbered: the
// same report is sent again until it is acknowledged, so a lost answer neither
// loses nor repeats a charge. Weighed: one call for both (a held call would
// delay tokens by up to its hold time).
//
// Core and ledger are deterministic; Replica drives them and is safe for
// concurrent use. Lock: Replica.mu guards the core; nothing is called under it.
package replica
