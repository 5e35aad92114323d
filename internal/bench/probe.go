package bench

import (
	"bytes"
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/engine"
	"github.com/radishloom/radishloom/internal/coordination/entry"
	"github.com/radishloom/radishloom/internal/resultcode"
)

// probe records measurements inside the entries.
type probe struct {
	start time.Time
	// engineTime is the time in nanoseconds from the last attempt of a request to
	// the first event of the engine, indexed by sequence number.
	engineTime []atomic.Int64

	mu      sync.Mutex
	buckets map[string]*bucket // token bucket of each customer
	reasons map[resultcode.Code]int
}

// bucket is a token bucket with the rate of one customer, over the tokens that all
// entries charge.
type bucket struct {
	rate, burst, level float64
	last               time.Duration
	charged            uint64
	// maxExcess is the largest number of tokens by which any time window exceeded
	// rate x time + burst.
	maxExcess float64
}

func newProbe(t traffic) *probe {
	p := &probe{
		start: time.Now(), engineTime: make([]atomic.Int64, len(t.requests)),
		buckets: make(map[string]*bucket), reasons: make(map[resultcode.Code]int),
	}
	for c, share := range customers() {
		rate := float64(uint64(share * t.rate))
		p.buckets[customerName(c)] = &bucket{rate: rate, burst: rate * burstSeconds, level: rate * burstSeconds}
	}
	return p
}

func (p *probe) charge(customer string, tokens uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b := p.buckets[customer]
	now := time.Since(p.start)
	b.level = min(b.burst, b.level+b.rate*(now-b.last).Seconds()) - float64(tokens)
	b.last = now
	b.charged += tokens
	b.maxExcess = max(b.maxExcess, -b.level)
}

// meteredReplica reports the tokens that an entry charges to the probe.
type meteredReplica struct {
	entry.Replica
	probe *probe
}

// Charge implements entry.Replica.
func (r meteredReplica) Charge(customer string, tokens uint64) {
	r.probe.charge(customer, tokens)
	r.Replica.Charge(customer, tokens)
}

// timedEngine measures the time from sending a request to its first event.
type timedEngine struct {
	engine.Engine
	probe *probe
}

// Open implements engine.Engine.
func (e timedEngine) Open(ctx context.Context, to engine.Target, r engine.Request) (engine.Stream, error) {
	began := time.Now()
	s, err := e.Engine.Open(ctx, to, r)
	seq := sequenceNumber(r.Body)
	if err != nil || seq < 0 || r.ResumeFrom > 0 {
		return s, err
	}
	return &timedStream{Stream: s, began: began, out: &e.probe.engineTime[seq]}, nil
}

type timedStream struct {
	engine.Stream
	began time.Time
	out   *atomic.Int64
}

// Next implements engine.Stream.
func (s *timedStream) Next(ctx context.Context) (engine.Event, error) {
	ev, err := s.Stream.Next(ctx)
	if s.out != nil && err == nil {
		s.out.Store(int64(time.Since(s.began)))
		s.out = nil
	}
	return ev, err
}

// sequenceNumber returns the sequence number that setBody wrote, or -1 if there is
// none.
func sequenceNumber(body []byte) int {
	_, rest, ok := bytes.Cut(body, []byte(`"user":"r`))
	if !ok {
		return -1
	}
	digits, _, _ := bytes.Cut(rest, []byte(`"`))
	n, err := strconv.Atoi(string(digits))
	if err != nil {
		return -1
	}
	return n
}
