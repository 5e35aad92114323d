// Package bench measures the decisions of the entries under load and faults.
//
// A cell is one run of one scenario on one deployment with one seed and one set
// of decisions. It starts a control server, nine entries with the real HTTP
// packages and replicas, and stand-in engines and services, all in this
// process, and sends open-loop traffic that the seed determines. Cost measures
// one entry in a process of its own.
//
// Times are not scaled: one second of a run is one second of the deployment.
// Answers and prompts are short instead, so that a run has enough requests.
package bench
