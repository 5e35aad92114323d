// Package forward implements the entry role for catalogs that the platform's
// operator supplies: it accepts a request, looks up its route and customer,
// chooses an endpoint, and passes the endpoint's response on unchanged.
//
// The entry that accepted a request is the only process that sends it to
// endpoints, so at-most-once execution needs no record elsewhere: a request that
// is not idempotent is sent to a second endpoint only if it is certain that the
// first one did not run it. Control VMs are not on the path of a request. Watcher
// fetches endpoints, models and shares of the customers' rates from the leading
// control VM; while that is unreachable, the entry uses the last known state.
//
// The decisions are made by pool.Entry (slots of endpoints), Buckets (rate limits),
// RetryBudget and StreamRegister (where streams began). They do no I/O and read
// no clock. Server drives them and does the I/O.
//
// Locks: Server.mu guards pool.Entry, Buckets, RetryBudget and StreamRegister, which have
// no lock of their own. No other lock of this package is taken while Server.mu is held.
package forward
