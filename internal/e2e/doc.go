// Package e2e holds end-to-end tests with real processes: daemons are killed,
// paused, stopped and lose their disks while callers and operators continue to
// send requests. It contains only tests.
package e2e
