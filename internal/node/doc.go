// Package node builds and runs the processes for the users' platform: an entry
// that forwards requests according to the operator's catalog, and a control VM
// that stores the catalog and the directory of endpoints. The platform's names
// are used only in the folder platform at the root.
package node
