// Package e2e holds tests of the whole path with real processes: daemons that
// are killed, frozen, stopped and robbed of their disks while callers and
// operators go on. It has no code of its own.
package e2e
