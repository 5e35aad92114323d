// Command controlbench measures the control role with real daemons on loopback:
// latency and throughput of changes and claims, time until a change is in force
// at many entries, fail-over time, and the resource usage of the control role.
// Entries are replicas in this process; the daemons' processor time and memory
// are read from /proc.
//
// The results go to standard output as Markdown tables (docs/measurements.md).
package main

import (
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
)

type options struct {
	Daemon  string        `long:"daemon" default:"bin/radishloomd" description:"path of the daemon"`
	Entries []int         `long:"entries" description:"numbers of entries (default 9, 100, 200, 420)"`
	Members []int         `long:"members" description:"numbers of control VMs (default 3, 5, 7)"`
	Idle    time.Duration `long:"idle" default:"10s" description:"time over which idle cost is measured"`
	Only    string        `long:"only" description:"run one part: changes, entries, failover or daemon"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		var fe *flags.Error
		if errors.As(err, &fe) && fe.Type == flags.ErrHelp {
			return
		}
		os.Exit(2)
	}
	if len(o.Entries) == 0 {
		o.Entries = []int{9, 100, 200, 420}
	}
	if len(o.Members) == 0 {
		o.Members = []int{3, 5, 7}
	}
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, "controlbench:", err)
		os.Exit(1)
	}
}

func run(o options) error {
	parts := []struct {
		name string
		run  func(options) error
	}{
		{"changes", measureChanges},
		{"failover", measureFailover},
		{"entries", measureEntries},
		{"daemon", measureDaemon},
	}
	for _, p := range parts {
		if o.Only != "" && o.Only != p.name {
			continue
		}
		if err := p.run(o); err != nil {
			return fmt.Errorf("%s: %w", p.name, err)
		}
	}
	return nil
}
