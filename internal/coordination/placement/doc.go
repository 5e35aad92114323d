// Package placement decides which models are resident on which engines and
// gives the orders that bring it about.
//
// Planner is the deterministic part: a View of the configuration, of the order
// ledger and of the engines' reports goes in, orders and the residency to
// publish come out. Owner drives it on the control VM that leads.
//
// A copy is ready when a report of its engine says so, or when the engine
// confirmed the load and no later report denies it. A copy is secure when a
// report says that it is ready, its engine is live and not leaving, and no order
// or plan removes it. An unload is ordered only while enough secure copies
// remain without it. At most one order of an engine and model is open at a time,
// so that a late order cannot undo a newer one.
//
// Surplus copies stay until their memory is needed: unloading them earlier
// frees nothing that is wanted and costs a load when the demand returns.
package placement
