// Package daemon wires the parts of radishloomd together and runs them. It is
// the one place that constructs them.
//
// Start: the control role and the listener for other daemons first, then the
// replica and the entry's loops, then the listeners for operators, scrapes and
// callers. An entry answers callers before its first Sync with a refusal that
// says "not run", and reports not ready.
//
// Stop: not ready first, so that the platform's load balancer turns away; then
// the callers' listener, with open requests running on for the grace period;
// then the entry's session is closed, which returns its token leases; the
// control role last, since running requests need it to finish their claims.
package daemon
