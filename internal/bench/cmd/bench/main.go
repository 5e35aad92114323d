// Bench measures the decisions of the entries under load and faults, and writes
// Markdown tables. See package bench.
package main

import (
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	kratoslog "github.com/go-kratos/kratos/v2/log"
	"github.com/jessevdk/go-flags"

	"github.com/radishloom/radishloom/internal/bench"
)

type options struct {
	Seeds      int           `long:"seeds" default:"3" description:"seeds of each run, from 1"`
	Length     time.Duration `long:"length" default:"9s" description:"time of the traffic of each run"`
	Parallel   int           `long:"parallel" default:"3" description:"runs at the same time"`
	Scenario   string        `long:"scenario" description:"only scenarios with this text in their name"`
	Deployment string        `long:"deployment" description:"only this deployment"`
	Baselines  bool          `long:"baselines" description:"also run the baselines, on the scenarios without faults"`
}

func main() {
	var o options
	if _, err := flags.Parse(&o); err != nil {
		os.Exit(2)
	}
	kratoslog.SetLogger(kratoslog.NewStdLogger(io.Discard))
	if err := run(o); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

// plan returns the cells of one deployment, the seeds of a row side by side.
func plan(o options, d bench.Deployment) []bench.Cell {
	var cells []bench.Cell
	for i, p := range bench.Policies() {
		if i > 0 && !o.Baselines {
			break
		}
		for _, s := range bench.Scenarios() {
			faultless := slices.Contains([]bench.Scenario{bench.Steady, bench.Move, bench.Flood}, s)
			if !strings.Contains(string(s), o.Scenario) || i > 0 && !faultless {
				continue
			}
			for seed := range o.Seeds {
				cells = append(cells, bench.Cell{Deployment: d, Scenario: s, Policy: p, Seed: uint64(seed + 1), Length: o.Length})
			}
		}
	}
	return cells
}

func run(o options) error {
	for _, d := range []bench.Deployment{bench.North(), bench.Lima()} {
		if o.Deployment != "" && d.Name != o.Deployment {
			continue
		}
		cells := plan(o, d)
		began, used := time.Now(), processorTime()
		results, err := runAll(cells, o.Parallel)
		if err != nil {
			return err
		}
		var rows []bench.Row
		requests := 0
		for i, f := range results {
			requests += f.Requests
			if i%o.Seeds == 0 {
				rows = append(rows, bench.Row{Label: fmt.Sprintf("%s, %s", cells[i].Scenario, cells[i].Policy.Name)})
			}
			last := &rows[len(rows)-1]
			last.Figures = append(last.Figures, f)
		}
		title := fmt.Sprintf("Deployment %s, %d seeds, %v of traffic, %d runs at the same time", d.Name, o.Seeds, o.Length, o.Parallel)
		bench.WriteTable(os.Stdout, title, rows)
		took, spent := time.Since(began), processorTime()-used
		fmt.Printf("\nProcessor time of entries, stand-ins and load generator together: %.2f ms for a request, %.1f cores on average.\n",
			float64(spent.Microseconds())/1000/float64(max(1, requests)), spent.Seconds()/took.Seconds())
	}
	return nil
}

// runAll keeps the order of the cells.
func runAll(cells []bench.Cell, parallel int) ([]bench.Figures, error) {
	results := make([]bench.Figures, len(cells))
	errs := make([]error, len(cells))
	slots := make(chan struct{}, parallel)
	var wg sync.WaitGroup
	for i, c := range cells {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			results[i], errs[i] = bench.Run(c)
		})
	}
	wg.Wait()
	for i, err := range errs {
		if err != nil {
			return nil, fmt.Errorf("%s, %s, seed %d: %w", cells[i].Scenario, cells[i].Policy.Name, cells[i].Seed, err)
		}
	}
	return results, nil
}

// processorTime is that of this process so far.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
