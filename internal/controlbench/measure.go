package main

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
	"github.com/radishloom/radishloom/internal/coordination/replica"
	"github.com/radishloom/radishloom/internal/protocol/peerrpc"
	"github.com/radishloom/radishloom/internal/state/config"
)

const (
	sequentialChanges  = 200
	claimsPerWorker    = 200
	failovers          = 5
	propagationChanges = 10
	// customerCount is the number of customers that each entry serves.
	customerCount = 20
	// spendInterval and spendTokens make each entry spend 100 tokens/s for each
	// customer.
	spendInterval = 100 * time.Millisecond
	spendTokens   = 10
)

// sample is a sorted set of durations.
type sample []time.Duration

func (s sample) quantile(share float64) time.Duration {
	return s[min(len(s)-1, int(share*float64(len(s))))]
}

func sorted(d []time.Duration) sample {
	slices.Sort(d)
	return d
}

func document(models, engines int) *statev1.Config {
	c := &statev1.Config{
		Profiles: []*statev1.Profile{{Name: "p", Priority: 1, FirstTokenMs: 1800, TokenGapMs: 25, DeadlineMs: 20_000, SilenceMs: 5000}},
	}
	for i := range customerCount {
		c.Customers = append(c.Customers, customer(i, 1000))
	}
	for i := range models {
		name := fmt.Sprintf("model-%d", i)
		c.Models = append(c.Models, &statev1.Model{Name: name, Version: "1", MemoryMb: 1000})
		c.Routes = append(c.Routes, &statev1.Route{Name: name, Kind: statev1.RouteKind_ROUTE_KIND_MODEL, Model: name, Profile: "p", Idempotent: true})
	}
	for i := range engines {
		c.Endpoints = append(c.Endpoints, &statev1.Endpoint{
			Name: fmt.Sprintf("engine-%d", i), Kind: statev1.EndpointKind_ENDPOINT_KIND_ENGINE, DataCentre: "dc",
			Address: fmt.Sprintf("127.0.0.1:%d", 1+i), MemoryMb: 100_000, Slots: 8, Accelerators: 8,
		})
	}
	return c
}

func customer(i int, rate uint64) *statev1.Customer {
	return &statev1.Customer{Name: fmt.Sprintf("customer-%d", i), RateTokensPerSecond: rate, BurstTokens: 1_000_000}
}

// change returns a command that sets the rate of one customer.
func change(id string, base, rate uint64) *statev1.Command {
	return &statev1.Command{RequestId: id, Op: &statev1.Command_ConfigChange{ConfigChange: &statev1.ConfigChange{
		BaseVersion: base, Upserts: &statev1.Config{Customers: []*statev1.Customer{customer(0, rate)}},
	}}}
}

func claim(session *statev1.Session, key string) *statev1.Command {
	return &statev1.Command{Op: &statev1.Command_ClaimBegin{ClaimBegin: &statev1.ClaimBegin{
		Key:        &statev1.ClaimKey{Customer: "customer-0", Route: "model-0", IdempotencyKey: key},
		BodySha256: make([]byte, 32), Session: session, Attempt: key,
	}}}
}

// measureChanges measures sequential changes and concurrent claims.
func measureChanges(o options) error {
	fmt.Println("| control VMs | changes/s, one at a time | median, 99th percentile | claims/s, 1 / 16 / 64 at a time | median at 16 |")
	fmt.Println("|---|---|---|---|---|")
	for _, n := range o.Members {
		if err := measureChangesWith(o, n); err != nil {
			return err
		}
	}
	return nil
}

func measureChangesWith(o options, members int) error {
	f, err := startFleet(o.Daemon, members)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.configure("setup", document(20, 12)); err != nil {
		return err
	}
	var took []time.Duration
	begin := time.Now()
	for i := range sequentialChanges {
		started := time.Now()
		r, err := f.propose(change(fmt.Sprint("c", i), uint64(1+i), uint64(1001+i)))
		if err != nil || r.GetCode() != 0 {
			return fmt.Errorf("change %d failed: result %v, error %v", i, r, err)
		}
		took = append(took, time.Since(started))
	}
	rate := float64(sequentialChanges) / time.Since(begin).Seconds()
	changes := sorted(took)
	session, stop, err := f.session()
	if err != nil {
		return err
	}
	defer stop()
	var claimRates []float64
	var median time.Duration
	for _, workers := range []int{1, 16, 64} {
		perSecond, s, err := f.measureClaims(session, workers)
		if err != nil {
			return err
		}
		claimRates = append(claimRates, perSecond)
		if workers == 16 {
			median = s.quantile(0.5)
		}
	}
	fmt.Printf("| %d | %.0f | %v, %v | %.0f / %.0f / %.0f | %v |\n", members, rate, round(changes.quantile(0.5)), round(changes.quantile(0.99)),
		claimRates[0], claimRates[1], claimRates[2], round(median))
	return nil
}

func round(d time.Duration) time.Duration { return d.Round(10 * time.Microsecond) }

// session keeps a session open until stop is called.
func (f *fleet) session() (session *statev1.Session, stop func(), err error) {
	r := replica.New(replica.Config{VM: "bench", DataCentre: "dc", Control: f.client})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = r.Run(ctx) }()
	for end := time.Now().Add(startTimeout); r.Index() == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			cancel()
			return nil, nil, errors.New("timed out after 30 s: replica has received no configuration")
		}
	}
	return r.Session(), cancel, nil
}

func (f *fleet) measureClaims(session *statev1.Session, workers int) (perSecond float64, s sample, err error) {
	var mu sync.Mutex
	var took []time.Duration
	var wg sync.WaitGroup
	begin := time.Now()
	for w := range workers {
		wg.Go(func() {
			for i := range claimsPerWorker {
				started := time.Now()
				r, perr := f.propose(claim(session, fmt.Sprintf("k-%d-%d-%d", workers, w, i)))
				mu.Lock()
				took = append(took, time.Since(started))
				if perr != nil || r.GetClaim().GetState() != statev1.ClaimState_CLAIM_STATE_GRANTED {
					err = fmt.Errorf("claim was not granted: result %v, error %v", r, perr)
				}
				mu.Unlock()
			}
		})
	}
	wg.Wait()
	return float64(len(took)) / time.Since(begin).Seconds(), sorted(took), err
}

// measureFailover measures the time from killing the leader to the next committed
// change.
func measureFailover(o options) error {
	fmt.Println("\n| fail-over of 3 control VMs | time from SIGKILL of the leader to the next committed change |")
	fmt.Println("|---|---|")
	var took []time.Duration
	for i := range failovers {
		d, err := measureOneFailover(o, i)
		if err != nil {
			return err
		}
		took = append(took, d)
	}
	s := sorted(took)
	fmt.Printf("| %d kills | least %v, median %v, most %v |\n", failovers, round(s[0]), round(s.quantile(0.5)), round(s[len(s)-1]))
	return nil
}

func measureOneFailover(o options, i int) (time.Duration, error) {
	f, err := startFleet(o.Daemon, 3)
	if err != nil {
		return 0, err
	}
	defer f.stop()
	if err := f.configure("setup", document(20, 12)); err != nil {
		return 0, err
	}
	leader, err := f.leader()
	if err != nil {
		return 0, err
	}
	f.kill(leader)
	started := time.Now()
	r, err := f.propose(change(fmt.Sprint("after", i), 1, 2000))
	if err != nil || r.GetCode() != 0 {
		return 0, fmt.Errorf("change after the fail-over failed: result %v, error %v", r, err)
	}
	return time.Since(started), nil
}

// measureEntries measures the propagation time of changes and the cost of the
// control role with many entries.
func measureEntries(o options) error {
	fmt.Println("\n| entries | in force everywhere: median, most | bytes/s for an entry: idle, 1 change/s, tokens of 20 customers | leader, share of a core: idle, 1 change/s, tokens | followers: idle, tokens | leader's memory |")
	fmt.Println("|---|---|---|---|---|---|")
	for _, n := range o.Entries {
		if err := measureEntriesWith(o, n); err != nil {
			return err
		}
	}
	return nil
}

// entry is one replica and its transport.
type entry struct {
	replica   *replica.Replica
	transport *peerrpc.Transport
}

func measureEntriesWith(o options, n int) error {
	f, err := startFleet(o.Daemon, 3)
	if err != nil {
		return err
	}
	defer f.stop()
	if err := f.configure("setup", document(470, 890)); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	defer wg.Wait()
	defer cancel()
	traffic := &byteCounter{}
	var replicas []*replica.Replica
	reached := newVersionWatch(n)
	for i := range n {
		peers := slices.Concat(f.peers()[i%3:], f.peers()[:i%3])
		e := entry{transport: peerrpc.NewTransport(peerrpc.Options{Dial: traffic.dial})}
		e.replica = replica.New(replica.Config{
			VM: fmt.Sprintf("entry-%d", i), DataCentre: "dc", Control: peerrpc.NewControlClient(e.transport, nil, peers),
			OnConfig: func(index *config.Index) { reached.set(i, index.Version()) },
		})
		replicas = append(replicas, e.replica)
		wg.Go(func() {
			_ = e.replica.Run(ctx)
			e.transport.Close()
		})
	}
	if err := reached.wait(1); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	idle, err := f.measureCost(traffic, o.Idle, nil)
	if err != nil {
		return err
	}
	var took []time.Duration
	busy, err := f.measureCost(traffic, propagationChanges*time.Second, func(i int) error {
		started := time.Now()
		if r, err := f.propose(change(fmt.Sprint("p", i), uint64(1+i), uint64(3000+i))); err != nil || r.GetCode() != 0 {
			return fmt.Errorf("change failed: result %v, error %v", r, err)
		}
		err := reached.wait(uint64(2 + i))
		took = append(took, time.Since(started))
		return err
	})
	if err != nil {
		return err
	}
	using, stop := context.WithCancel(ctx)
	defer stop()
	for _, r := range replicas {
		wg.Go(func() { spendTokensOf(using, r) })
	}
	time.Sleep(3 * time.Second)
	use, err := f.measureCost(traffic, o.Idle, nil)
	if err != nil {
		return err
	}
	s := sorted(took)
	perEntry := func(c cost) float64 { return c.bytesPerSecond / float64(n) }
	fmt.Printf("| %d | %v, %v | %.0f, %.0f, %.0f | %.1f%%, %.1f%%, %.1f%% | %.1f%%, %.1f%% | %.0f MB |\n",
		n, round(s.quantile(0.5)), round(s[len(s)-1]), perEntry(idle), perEntry(busy), perEntry(use),
		idle.leaderPercent, busy.leaderPercent, use.leaderPercent, idle.followerPercent, use.followerPercent, float64(use.leaderResidentBytes)/1e6)
	return nil
}

// spendTokensOf spends tokens of every customer through one replica.
func spendTokensOf(ctx context.Context, r *replica.Replica) {
	ticker := time.NewTicker(spendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		for i := range customerCount {
			name := fmt.Sprintf("customer-%d", i)
			if !r.Hold(name, spendTokens) {
				r.SetWanted(name, spendTokens)
				continue
			}
			r.SetWanted(name, 0)
			r.Charge(name, spendTokens)
			r.Release(name, spendTokens, spendTokens)
		}
	}
}
