// Package entry serves requests in the entry role, from admission to the last
// byte of the response.
//
// The deterministic packages admission, routing, retry, quarantine and quota make
// the decisions. This package passes them events and the time, and acts on their
// decisions. Serve handles one request on the goroutine of its connection; Run
// runs the background loops that all requests share (queue expiry, load reports,
// the platform's list, withdrawn keys, unfinished claims).
//
// Lock order: a goroutine acquires these locks only in the order below, and holds
// none of them while it calls an engine, a service, the platform, a ResponseWriter
// or Replica.Propose.
//
//  1. tokenQueue.mu: requests that wait for tokens (quota). Replica.Hold and
//     Replica.SetWanted are called under it, so that holds are granted in order.
//  2. scheduler.mu: the queues (admission) and endpoints (routing).
//  3. Server.retries.mu: retry budgets (retry).
//  4. Server.suspects.mu: running fingerprints (quarantine).
//  5. streams.mu: open streams of keyed requests.
//
// At present no code path holds two of them at once.
package entry
