// Package pool gives out the places of engines and of plain services' endpoints.
//
// Problem: many entries send to the same few engines of a busy model. If each of
// them decides alone, they overfill an engine together, the queue in front of it
// knows no urgency, and an answer that is already late takes a place that another
// entry needed for one in time. Alternatives: entries tell each other every load
// (messages grow with the square of their number, and all of them still take the
// same free place in the same instant), or the leader gives out all places
// (control on the path of every request). Here each model has a broker, one of
// the entries, chosen by rendezvous hashing. An entry asks the broker for a place
// and sends the request itself. Brokers of models that share engines tell each
// other what they gave out there.
//
// Invariant: a place is a matter of order and not of safety. An entry that
// reaches no broker gives out places by what it knows itself, two brokers of one
// model overfill an engine for a moment, and an engine that is full refuses
// without running the request. So nobody has to agree on who is a broker, and a
// broker keeps nothing that the entries that hold places cannot tell its
// successor.
//
// Entry, Broker, Client, Table and Queue do no I/O and read no clock. They are
// not safe for concurrent use.
package pool
