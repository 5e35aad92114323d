// Package directory is what the leading control VM does for entries that
// forward requests by the operator's catalog: it keeps the list of endpoints,
// asks engines for their state, gives them orders, and divides the customers'
// rates between entries.
//
// Problem: the platform bounds the calls to its list over all VMs, and orders
// to engines must come from one holder. So one VM polls and orders, and hands
// the result on. Alternatives: every entry polls (the bound on calls divides by
// the number of entries), or an owner chosen apart from the leader (a second
// election). Invariant: an order is sent only by a VM that has confirmed its
// leadership just before, with the fencing token of its term and with the
// engine's sequence for which it was decided. An engine refuses the order at any
// other sequence, so that orders which arrive late change nothing.
//
// Planner and Shares decide and do no I/O. Server drives them. Everything here
// is held in memory and is found out anew by each leader.
package directory
