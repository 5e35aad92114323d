package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// entryMemory is the memory in bytes of an entry VM of the platform. A process that uses
// more is killed there.
const entryMemory = 284e6

// peakMemory returns the largest resident memory of a process in bytes, or 0 where the
// system does not tell it.
func peakMemory(pid int) int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0 // the process has just ended, or there is no such file
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	line, _, _ := strings.Cut(rest, "\n")
	kilobytes, err := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(line), "kB")))
	if err != nil {
		return 0
	}
	return kilobytes * 1024
}

// recordMemory records the peak memory of the running entries.
func (f *fleet) recordMemory() {
	for _, p := range f.entries {
		if p.alive() {
			f.peakMemory = max(f.peakMemory, peakMemory(p.cmd.Process.Pid))
		}
	}
}

// checkMemory checks that no entry used more memory than its VM has.
func (f *fleet) checkMemory() {
	f.recordMemory()
	if f.peakMemory == 0 || f.peakMemory > entryMemory {
		f.t.Errorf("an entry used %d MB of memory", f.peakMemory/1e6)
	}
}
