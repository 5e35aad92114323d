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
	throughputTime    = 3 * time.Second
	throughputCallers = 32
	// firstTokenPairs is the number of pairs of requests, one through the entry and
	// one directly to the engine.
	firstTokenPairs    = 1500
	gapTokens          = 1000
	gapTokenTime       = 2 * time.Millisecond
	openTokenTime      = 500 * time.Millisecond
	openTokens         = 10_000
	longResponseTokens = 1000
	maxConnecting      = 500
)

// entryProcess is a child process that runs RunEntryProcess.
type entryProcess struct {
	hello
	command *exec.Cmd
	input   io.WriteCloser
	output  *json.Decoder
}

// startEntry starts this executable again as an entry process with GOMAXPROCS=1.
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

// streamClient sends streaming requests to one address.
type streamClient struct {
	address, key string
	http         *http.Client
	sequence     *atomic.Uint64
}

// stream sends one request and calls token for each content event.
func (c *streamClient) stream(ctx context.Context, tokens int, token func()) error {
	body := fmt.Sprintf(`{"model":%q,"max_tokens":%d,"stream":true,"messages":[{"role":"user","content":"hello"}]}`, costModel, tokens)
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", fmt.Sprint("cost-", c.sequence.Add(1)))
	resp, err := c.http.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("response has HTTP status %d, want 200", resp.StatusCode)
	}
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		if strings.Contains(lines.Text(), `"content":"`) {
			token()
		}
	}
	return lines.Err()
}

// MeasureCost measures one entry on one core. The engine and the load generator
// run in this process. Memory is measured at each number of open streams in open.
func MeasureCost(w io.Writer, open []int) error {
	fmt.Fprintf(w, "\nOne entry process with GOMAXPROCS=1\n\n| figure | value |\n|---|--:|\n")
	steps := []struct {
		tokenTime time.Duration
		run       func(w io.Writer, p *entryProcess, viaEntry, toEngine *streamClient) error
	}{
		{0, measureFirstTokenOverhead},
		{gapTokenTime, measureGapOverhead},
		{0, measureThroughput},
		{openTokenTime, func(w io.Writer, p *entryProcess, via, _ *streamClient) error {
			return measureOpenStreams(w, p, via, open)
		}},
	}
	for _, s := range steps {
		if err := withEntry(s.tokenTime, func(p *entryProcess, via, direct *streamClient) error { return s.run(w, p, via, direct) }); err != nil {
			return err
		}
	}
	return nil
}

func withEntry(tokenTime time.Duration, f func(p *entryProcess, viaEntry, toEngine *streamClient) error) error {
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
	transport := &http.Transport{MaxIdleConnsPerHost: throughputCallers, DisableCompression: true}
	defer transport.CloseIdleConnections()
	client, sequence := &http.Client{Transport: transport}, &atomic.Uint64{}
	err = f(p, &streamClient{p.Address, p.Key, client, sequence}, &streamClient{e.Addr(), "", client, sequence})
	transport.CloseIdleConnections()
	return errors.Join(err, p.close())
}

// quantiles returns the median and the 99th percentile.
func quantiles(list []time.Duration) (median, p99 time.Duration) {
	slices.Sort(list)
	return list[len(list)/2], list[len(list)*99/100]
}

func writeDifference(w io.Writer, label string, via, direct []time.Duration) {
	viaMedian, viaHigh := quantiles(via)
	directMedian, directHigh := quantiles(direct)
	fmt.Fprintf(w, "| %s, median | %d us (%d us through the entry, %d us without) |\n", label,
		(viaMedian - directMedian).Microseconds(), viaMedian.Microseconds(), directMedian.Microseconds())
	fmt.Fprintf(w, "| %s, 99th percentile | %d us (%d us through the entry, %d us without) |\n", label,
		(viaHigh - directHigh).Microseconds(), viaHigh.Microseconds(), directHigh.Microseconds())
}

// measureFirstTokenOverhead sends one request at a time, alternately through the
// entry and directly to the engine.
func measureFirstTokenOverhead(w io.Writer, _ *entryProcess, via, direct *streamClient) error {
	var times [2][]time.Duration
	for range firstTokenPairs {
		for i, c := range []*streamClient{via, direct} {
			began, first := time.Now(), time.Duration(0)
			if err := c.stream(context.Background(), 1, func() { first = time.Since(began) }); err != nil {
				return err
			}
			times[i] = append(times[i], first)
		}
	}
	writeDifference(w, "added to the first token", times[0], times[1])
	return nil
}

func measureGapOverhead(w io.Writer, _ *entryProcess, via, direct *streamClient) error {
	var gaps [2][]time.Duration
	for i, c := range []*streamClient{via, direct} {
		var last time.Time
		err := c.stream(context.Background(), gapTokens, func() {
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

// measureThroughput runs a fixed number of callers without pauses, first with
// short responses and then with long ones.
func measureThroughput(w io.Writer, p *entryProcess, via, _ *streamClient) error {
	for _, tokens := range []int{1, longResponseTokens} {
		before, err := p.usage()
		if err != nil {
			return err
		}
		var requests, events atomic.Int64
		began := time.Now()
		if err := via.sendRepeatedly(tokens, &requests, &events); err != nil {
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

func (c *streamClient) sendRepeatedly(tokens int, requests, events *atomic.Int64) error {
	end := time.Now().Add(throughputTime)
	errs := make(chan error, throughputCallers)
	for range throughputCallers {
		go func() {
			for time.Now().Before(end) {
				if err := c.stream(context.Background(), tokens, func() { events.Add(1) }); err != nil {
					errs <- err
					return
				}
				requests.Add(1)
			}
			errs <- nil
		}()
	}
	var all error
	for range throughputCallers {
		all = errors.Join(all, <-errs)
	}
	return all
}

// measureOpenStreams measures the memory of the entry for each number of open
// streams.
func measureOpenStreams(w io.Writer, p *entryProcess, via *streamClient, counts []int) error {
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
	connecting := make(chan struct{}, maxConnecting)
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
		if err := await("too few streams received their first token", func() bool { return int(started.Load()) >= n }); err != nil {
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
