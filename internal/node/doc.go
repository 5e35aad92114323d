// Package node wires the processes that run on the users' platform: an entry
// that forwards requests by the operator's catalog, and a control VM that keeps
// the catalog and the directory of endpoints. Everything that speaks the
// platform's names is in the folder platform at the root.
package node
