// Package daemon constructs the components of radishloomd, connects them and runs
// them. No other package constructs them.
//
// Start: the control role and the listener for other daemons start first, then
// the replica and the loops of the entry, then the listeners for operators,
// scrapes and callers. Until its first Sync an entry refuses requests as "not
// run" and reports not ready.
//
// Stop: the VM reports not ready first, so that the platform's load balancer sends
// it no new requests. Then the listener for callers closes, and open requests may
// continue for the grace period. Then the entry's session is closed, which
// returns its token leases. The control role stops last, since open requests need
// it to finish their claims.
package daemon
