// Command harness-3 runs the scripts of the review cases 11 to 13. Each starts the daemons of
// a small deployment as separate processes on loopback addresses, with stand-ins for
// callers, endpoints and the platform, and checks one rule.
//
// Usage: harness-3 CASE RECORD. It exits with 1 if the rule was broken, with 0 if it held and
// with 2 if the case could not run. With TROUBLE=0 in the environment there is no disruption.
package main

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/radishloom/radishloom/platform/standin"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// caseTimeout bounds a case; run.sh may take 120 seconds.
const caseTimeout = 110 * time.Second

// outcome is the verdict of a case on its rule.
type outcome struct {
	broken bool
	why    string
}

// scenario runs one case. Trouble is false if there shall be no disruption.
type scenario func(rec *record, trouble bool) (outcome, error)

func scenarios() map[string]scenario {
	return map[string]scenario{
		"first-start": firstStart,
		"lost-seed":   lostSeed,
		"route-added": routeAdded,
	}
}

func main() { os.Exit(run(os.Args[1:])) }

func run(args []string) int {
	if len(args) != 2 || scenarios()[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness-3 CASE RECORD")
		return exitFailed
	}
	rec, err := newRecord(args[1])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer rec.close()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("case %s, disruption: %v", args[0], trouble)
	type result struct {
		outcome
		err error
	}
	done := make(chan result, 1)
	go func() {
		o, err := scenarios()[args[0]](rec, trouble)
		done <- result{o, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	var r result
	select {
	case r = <-done:
	case s := <-signals:
		r.err = fmt.Errorf("ended by %v", s)
	case <-time.After(caseTimeout):
		r.err = fmt.Errorf("not finished within %v", caseTimeout)
	}
	stopAll()
	switch {
	case r.err != nil:
		rec.add("the case could not run: %v", r.err)
		return exitFailed
	case r.broken:
		rec.add("RULE BROKEN: %s", r.why)
		return exitBroken
	default:
		rec.add("rule held: %s", r.why)
		return exitHeld
	}
}

// running has the fleets of the case, which run stops in any case.
var running struct {
	sync.Mutex
	fleets []*fleet
}

func setRunning(f *fleet) {
	running.Lock()
	defer running.Unlock()
	running.fleets = append(running.fleets, f)
}

func stopAll() {
	running.Lock()
	defer running.Unlock()
	for _, f := range running.fleets {
		f.stop()
	}
}

// record writes what happened, with the time since the start of the case, to a file and to
// standard output. It is safe for concurrent use.
type record struct {
	mu    *sync.Mutex
	file  *os.File
	out   io.Writer
	start time.Time
	// prefix begins each line.
	prefix string
}

// named returns a record that writes to the same file, with a prefix in each line.
func (r *record) named(prefix string) *record {
	out := *r
	out.prefix = prefix
	return &out
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{mu: &sync.Mutex{}, file: file, out: io.MultiWriter(file, os.Stdout), start: time.Now()}, nil
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s%s\n", time.Since(r.start).Seconds(), r.prefix, fmt.Sprintf(format, args...))
}

func (r *record) close() { _ = r.file.Close() }

// leads reports whether a control VM leads, by its metrics.
func leads(p *vm) bool {
	resp, err := shortCall(fmt.Sprintf("http://%s:%d/metrics", p.settings.IP, standin.PeerPort+1))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "radishloom_leader{") || strings.HasPrefix(lines.Text(), "radishloom_leader ") {
			return strings.HasSuffix(lines.Text(), " 1")
		}
	}
	return false
}
