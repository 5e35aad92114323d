// Package soak runs the real programs as separate processes on loopback
// addresses, disturbs them from outside and checks the promises of docs/design.md
// from what callers, operators and endpoints see.
//
// Each VM has a loopback address of its own. Callers and endpoints are reached
// through proxies that delay, reset, cut and fall silent; processes are killed,
// paused, stopped and restarted by signals; a control VM may lose its folder.
// Links between daemons are disturbed by pausing processes only, since daemons
// know each other by address. All choices come from a seed; times of day are
// those of the machine, so a seed repeats the faults, not each interleaving.
//
// go test ./soak plays one short fixed seed. make soak plays many
// (SOAK_SEEDS, SOAK_FIRST, SOAK_SECONDS).
package soak
