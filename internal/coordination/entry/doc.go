// Package entry carries one request from admission to its last byte.
//
// The decisions are made by the deterministic modules admission, routing,
// retry, quarantine and quota. This package feeds them with events and the
// time, and carries out what they decide: Serve runs on the goroutine of the
// caller's connection, and Run drives the loops that every request shares
// (queue expiry, load reports, the platform's list, withdrawn keys, unfinished
// claims).
//
// Lock order. A goroutine takes these locks only in this order and holds none
// of them while it calls an engine, a service, the platform, a ResponseWriter
// or Replica.Propose:
//
//  1. tokens.mu: waiting token holds (quota). Replica.Hold and Replica.Want
//     are called under it, so that holds are granted in order.
//  2. scheduler.mu: the queues (admission) and endpoints (routing).
//  3. retries.mu: retry budgets (retry).
//  4. suspects.mu: running fingerprints (quarantine).
//  5. streams.mu: open streams, by key.
//
// No code path holds two of them at present; the order is for those to come.
package entry
