// Package directory implements the control VMs' side of the endpoint directory, for
// entries that forward requests by the operator's catalog. The leading control VM
// polls the platform's list of endpoints, polls engines for their state, sends them
// orders, and accounts for the customers' rates. Every control VM follows the leader
// and hands its state on to the entries that watch it.
//
// Only one VM polls and sends orders, and it publishes the result to the entries:
// the platform limits the calls of its list over all VMs, and the orders to engines
// must come from one holder. Alternatives: every entry polls, which divides the
// limit on calls by the number of entries, or an owner elected apart from the
// leader, which needs a second election.
//
// The leader answers control VMs only, so that a change crosses to a data centre once
// for each control VM there and not once for each entry. Alternatives: the leader
// answers every entry, whose cost grows with entries times changes, or entries hand
// changes on, which are too small for it and go by the dozen in a release.
//
// Invariant of the list: copies carry the leader's version numbers, and neither a
// control VM nor an entry replaces a list by an older one. A control VM that cannot
// confirm that its copy is recent serves no entry. Therefore an endpoint that left, or
// a key that was withdrawn, does not come back with a restart or a change of leader.
//
// Invariant of software versions: an endpoint is in a published list only if the
// replicated state has its version, and a version stays there for streamMemory after the
// last list that had it. So no stream can have begun at a version that a leader does not
// know of.
//
// Invariant of orders: an order is sent only by a VM that has confirmed its leadership
// just before, with the fencing token of its term and with the engine's sequence on
// which it was decided. An engine refuses an order with any other sequence, so that
// orders which arrive late change nothing.
//
// Planner, Levels, Shares, Suspects, StreamVersions and relayState decide and do no I/O.
// Server, on the leader, and Relay drive them. All state is held in memory; each new
// leader builds its own from scratch, but for the quarantine, the evacuations and the
// recent software versions, which are replicated.
package directory
