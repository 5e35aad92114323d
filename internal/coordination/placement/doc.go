// Package placement decides which models are resident on which engines and
// orders the engines to load and unload them.
//
// Planner is the deterministic part. Its input is a View of the configuration,
// the order ledger and the engines' reports; its output is the orders to issue
// and the residency to publish. Owner runs it on the leading control VM.
//
// A replica is one version of a model on one engine. It is ready when a report
// of its engine says so, or when the engine confirmed the load and no later
// report contradicts it. It is stable when a report lists it as ready, its
// engine is live and not leaving, and neither an order nor the planner is
// removing it. A replica is unloaded only while enough other stable replicas
// remain. At most one order per engine and model is open at a time, so that a
// delayed order cannot undo a newer one.
//
// Surplus replicas stay until their memory is needed: unloading them earlier
// frees memory that nothing needs and costs a load when the demand returns.
package placement
