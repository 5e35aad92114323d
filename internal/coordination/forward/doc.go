// Package forward is the entry role for catalogs of the platform's operator: it
// takes a request, finds its route and customer, chooses an endpoint, and passes
// the answer on unchanged.
//
// The entry that took a request is the only process that sends it to an
// endpoint, so at-most-once needs no record elsewhere: a request that is not
// idempotent goes to a second endpoint only if it is certain that the first one
// did not run it. Control is not on the path of a request. Endpoints, models and
// shares of rates come from the leading control VM through Watcher; without it
// an entry goes on with what it knows.
//
// pool.Entry (places at endpoints), Buckets (rates) and Budget (further attempts)
// decide. They do no I/O and read no clock. Server drives them and does the I/O.
//
// Lock order: Server.mu before nothing else; pool.Entry, Buckets and Budget are
// guarded by Server.mu and have no lock of their own.
package forward
