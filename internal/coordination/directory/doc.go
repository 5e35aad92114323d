// Package directory implements the leader's side of the endpoint directory, for
// entries that forward requests by the operator's catalog. The leading control VM
// polls the platform's list of endpoints, polls engines for their state, sends them
// orders, and divides the customers' rates between entries.
//
// Only one VM polls and sends orders, and it publishes the result to the entries:
// the platform limits the calls of its list over all VMs, and the orders to engines
// must come from one holder. Alternatives: every entry polls, which divides the
// limit on calls by the number of entries, or an owner elected apart from the
// leader, which needs a second election.
//
// Invariant: an order is sent only by a VM that has confirmed its leadership just
// before, with the fencing token of its term and with the engine's sequence on
// which it was decided. An engine refuses an order with any other sequence, so that
// orders which arrive late change nothing.
//
// Planner, Shares and Suspects decide and do no I/O. Server drives them. All state
// is held in memory; each new leader builds it from scratch.
package directory
