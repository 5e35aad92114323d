package bench

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	standinengine "github.com/radishloom/radishloom/internal/standin/engine"
)

const (
	costTime    = 3 * time.Second
	costCallers = 32
	// costPairs is the number of requests on each way of the comparison.
	costPairs      = 1500
	costGapTokens  = 1000
	costGapTime    = 2 * time.Millisecond
	openTokenTime  = 500 * time.Millisecond
	openTokens     = 10_000
	longAnswer     = 1000
	connectorLimit = 500
)

// entryProcess is the other end of EntryProcess.
type entryProcess struct {
	hello
	command *exec.Cmd
	input   io.WriteCloser
	output  *json.Decoder
}

// startEntry runs this program again as an entry process on one core.
func startEntry(engine string) (*entryProcess, error) {
	path, err := os.Executable()
	if err != nil {
		return nil, err
	}
	p := &entryProcess{command: exec.Command(path, "--entry-for", engine)}
	p.command.Env = append(os.Environ(), "GOMAXPROCS=1")
	p.command.Stderr = os.Stderr
	if p.input, err = p.command.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := p.command.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := p.command.Start(); err != nil {
		return nil, err
	}
	p.output = json.NewDecoder(out)
	if err := p.output.Decode(&p.hello); err != nil {
		return nil, errors.Join(err, p.close())
	}
	return p, nil
}

func (p *entryProcess) close() error {
	_ = p.input.Close()
	return p.command.Wait()
}

func (p *entryProcess) usage() (u usage, err error) {
	if _, err = io.WriteString(p.input, "\n"); err != nil {
		return u, err
	}
	return u, p.output.Decode(&u)
}

// lane sends requests to one address.
type lane struct {
	address, key string
	http         *http.Client
	sequence     *atomic.Uint64
}

// stream sends one request and calls token for each token.
func (l *lane) stream(ctx context.Context, tokens int, token func()) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, costModel, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+l.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+l.key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", fmt.Sprint("cost-", l.sequence.Add(1)))
	resp, err := l.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"content":"`) {
			token()
		}
	}
	return lines.Err()
}

// Cost measures one entry on one core. The engine and the load generator are
// this process. Open lists numbers of open streams whose memory is measured.
func Cost(w io.Writer, open []int) error {
	fmt.Fprintf(w, "\nOne entry process with GOMAXPROCS=1\n\n| figure | value |\n|---|--:|\n")
	steps := []struct {
		tokenTime time.Duration
		run       func(w io.Writer, p *entryProcess, viaEntry, toEngine *lane) error
	}{
		{0, addedToFirst},
		{costGapTime, addedToGaps},
		{0, throughput},
		{openTokenTime, func(w io.Writer, p *entryProcess, via, _ *lane) error { return openStreams(w, p, via, open) }},
	}
	for _, s := range steps {
		if err := withEntry(s.tokenTime, func(p *entryProcess, via, to *lane) error { return s.run(w, p, via, to) }); err != nil {
			return err
		}
	}
	return nil
}

func withEntry(tokenTime time.Duration, f func(p *entryProcess, viaEntry, toEngine *lane) error) error {
	e, err := standinengine.Start("127.0.0.1:0", standinengine.Config{
		Models: []standinengine.Model{{Name: costModel, Version: "1", MemoryMB: modelMemoryMB}}, Resident: []string{costModel},
		MemoryMB: modelMemoryMB, Slots: costSlots, MaxWaiting: costSlots, TokenTime: tokenTime, ResumeWindow: time.Second,
	})
	if err != nil {
		return err
	}
	defer e.Close()
	p, err := startEntry(e.Addr())
	if err != nil {
		return err
	}
	transport := &http.Transport{MaxIdleConnsPerHost: costCallers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client, sequence := &http.Client{Transport: transport}, &atomic.Uint64{}
	err = f(p, &lane{p.Address, p.Key, client, sequence}, &lane{e.Addr(), "", client, sequence})
	transport.CloseIdleConnections()
	return errors.Join(err, p.close())
}

// quantiles returns the median and the 99th percentile.
func quantiles(list []time.Duration) (median, p99 time.Duration) {
	slices.Sort(list)
	return list[len(list)/2], list[len(list)*99/100]
}

func writeDifference(w io.Writer, label string, via, to []time.Duration) {
	viaMedian, viaHigh := quantiles(via)
	toMedian, toHigh := quantiles(to)
	fmt.Fprintf(w, "| %s, median | %d us (%d us through the entry, %d us without) |\n", label,
		(viaMedian - toMedian).Microseconds(), viaMedian.Microseconds(), toMedian.Microseconds())
	fmt.Fprintf(w, "| %s, 99th percentile | %d us (%d us through the entry, %d us without) |\n", label,
		(viaHigh - toHigh).Microseconds(), viaHigh.Microseconds(), toHigh.Microseconds())
}

// addedToFirst compares one request at a time, in turns.
func addedToFirst(w io.Writer, _ *entryProcess, via, to *lane) error {
	var times [2][]time.Duration
	for range costPairs {
		for i, l := range []*lane{via, to} {
			began, first := time.Now(), time.Duration(0)
			if err := l.stream(context.Background(), 1, func() { first = time.Since(began) }); err != nil {
				return err
			}
			times[i] = append(times[i], first)
		}
	}
	writeDifference(w, "added to the first token", times[0], times[1])
	return nil
}

func addedToGaps(w io.Writer, _ *entryProcess, via, to *lane) error {
	var gaps [2][]time.Duration
	for i, l := range []*lane{via, to} {
		var last time.Time
		err := l.stream(context.Background(), costGapTokens, func() {
			now := time.Now()
			if !last.IsZero() {
				gaps[i] = append(gaps[i], now.Sub(last))
			}
			last = now
		})
		if err != nil {
			return err
		}
	}
	writeDifference(w, "added between tokens", gaps[0], gaps[1])
	return nil
}

// throughput keeps a number of callers busy, first with short answers and then
// with long ones.
func throughput(w io.Writer, p *entryProcess, via, _ *lane) error {
	for _, tokens := range []int{1, longAnswer} {
		before, err := p.usage()
		if err != nil {
			return err
		}
		var requests, events atomic.Int64
		began := time.Now()
		if err := via.keepBusy(tokens, &requests, &events); err != nil {
			return err
		}
		took := time.Since(began)
		after, err := p.usage()
		if err != nil {
			return err
		}
		used := after.Processor - before.Processor
		fmt.Fprintf(w, "| answers of %d token(s): requests/s, tokens/s, cores used | %.0f, %.0f, %.2f |\n", tokens,
			float64(requests.Load())/took.Seconds(), float64(events.Load())/took.Seconds(), used.Seconds()/took.Seconds())
		fmt.Fprintf(w, "| the same: processor time for a request, for a token | %d us, %.1f us |\n",
			used.Microseconds()/max(1, requests.Load()), float64(used.Nanoseconds())/1000/float64(max(1, events.Load())))
	}
	return nil
}

func (l *lane) keepBusy(tokens int, requests, events *atomic.Int64) error {
	end := time.Now().Add(costTime)
	errs := make(chan error, costCallers)
	for range costCallers {
		go func() {
			for time.Now().Before(end) {
				if err := l.stream(context.Background(), tokens, func() { events.Add(1) }); err != nil {
					errs <- err
					return
				}
				requests.Add(1)
			}
			errs <- nil
		}()
	}
	var all error
	for range costCallers {
		all = errors.Join(all, <-errs)
	}
	return all
}

// openStreams measures the memory of the entry with streams open.
func openStreams(w io.Writer, p *entryProcess, via *lane, counts []int) error {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	none, err := p.usage()
	if err != nil {
		return err
	}
	var started, failed atomic.Int64
	opened := 0
	connecting := make(chan struct{}, connectorLimit)
	for _, n := range counts {
		for ; opened < n; opened++ {
			connecting <- struct{}{}
			wg.Go(func() {
				first := sync.OnceFunc(func() { started.Add(1); <-connecting })
				if err := via.stream(ctx, openTokens, first); err != nil && ctx.Err() == nil {
					failed.Add(1)
				}
				first()
			})
		}
		if err := await("open streams", func() bool { return int(started.Load()) >= n }); err != nil {
			return err
		}
		time.Sleep(2 * openTokenTime)
		with, err := p.usage()
		if err != nil {
			return err
		}
		fmt.Fprintf(w, "| memory for each of %d open streams: resident, heap and stacks | %.1f KB, %.1f KB (%d failed) |\n", n,
			float64(with.ResidentBytes-none.ResidentBytes)/1024/float64(n), float64(with.InUseBytes-none.InUseBytes)/1024/float64(n), failed.Load())
	}
	return nil
}
