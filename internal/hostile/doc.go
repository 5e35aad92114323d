// Package hostile tests that callers outside anyone's control cannot make the daemon run
// out of memory or descriptors (docs/design/caller-resources.md). The tests start the
// daemon as a process of its own on loopback addresses, as an entry of the users'
// platform and with its own settings, and play crowds of such callers on plain
// connections. They check that the process lives, that its resident memory and its open
// descriptors stay within the limits of its settings, and that it still answers an
// ordinary request.
//
// scripts/unit.sh runs the package after all others, one test at a time, since the
// crowds would disturb the timing of other tests.
package hostile
