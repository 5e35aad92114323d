// Package pool grants slots at inference engines and at the endpoints of plain
// services. A slot is the capacity to run one request.
//
// Problem: many entries send requests to the same few engines of a busy model.
// If each of them decides alone, together they overfill an engine, its internal
// queue ignores the urgency of requests, and a request that is already late takes
// a slot that another entry needed for a request that can still be on time.
// Alternatives: entries send their loads to all others (the number of messages
// grows with the square of the number of entries, and entries still take the same
// free slot at the same time), or the leader grants all slots (which puts the
// control plane on the path of every request). Instead, each model has a broker,
// which is one of the entries, chosen by rendezvous hashing. An entry requests a
// slot from the broker and sends the request to the endpoint itself. Brokers of
// models that share engines exchange the slots that they have granted there.
//
// Invariant: slots affect scheduling only, never safety. An entry that reaches no
// broker grants slots from its own state, two brokers of one model overfill an
// engine for a short time, and an engine that is full refuses a request without
// running it. Therefore no agreement on the broker is needed, and a broker keeps
// no state that the entries that hold slots cannot send to its successor.
//
// Endpoints that warm up crash above a rate, so their bound must not depend on
// messages that arrive in time. A broker needs a permit for each request to such an
// engine, see permit.go; the rate of a plain endpoint is divided between a few entries,
// see warmup.go.
//
// Entry, Broker, Client, Table and Queue perform no I/O and read no clock. They
// are not safe for concurrent use.
package pool
