// Package bench measures the decisions of the entries under load and faults.
//
// A run combines one scenario, deployment, policy and seed. It starts a control
// server, nine entries with the real HTTP packages and replicas, and stand-in
// engines and services, all in this process, and sends open-loop traffic that is
// determined by the seed. MeasureCost measures one entry in a separate process.
//
// Times are not scaled: one second of a run is one second of the deployment.
// Responses and prompts are short instead, so that a run has enough requests.
package bench
