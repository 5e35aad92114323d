package replica

import (
	"slices"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	// useWindow is how much recent use an entry keeps leased, so that a steady
	// stream of requests needs no urgent call between two reports.
	useWindow = 2 * time.Second
	// useHalfLife is the half-life of the measured use.
	useHalfLife = time.Second
	// stuckTime is how long requests wait without any grant before the entry
	// returns what it holds. Two entries that each hold a part of a burst and wait
	// for more would otherwise block each other until their deadlines.
	stuckTime = 300 * time.Millisecond
	// yieldTime is how long an entry asks for nothing after it returned its part,
	// so that the other one gets it. Both times vary by up to as much again.
	yieldTime = 200 * time.Millisecond
	// keepFactor times the target stays leased before the surplus is returned;
	// returning at the target itself would swap tokens back and forth.
	keepFactor = 2
)

// ledger is the entry's side of token leases. For each customer it keeps what
// the account counts as leased to this session and what became of it since.
//
// Invariant: free = outstanding - reported - unreported - held, and holds are
// only granted out of free, so what is charged never exceeds what was leased.
type ledger struct {
	customers map[string]*line
	// random returns a number below n.
	random func(n int64) int64
	// seq is the number of the last report; it is in flight while report is set.
	seq    uint64
	report []*statev1.TokenUsage
}

// line is one customer. All amounts are tokens.
type line struct {
	// outstanding is what the account counted after the last acknowledged report.
	outstanding uint64
	// reported is charged or returned in the report in flight.
	reported uint64
	// unreported is charged since the last report was made.
	unreported uint64
	held       uint64
	// orphaned is held by requests of an earlier session, whose lease was
	// written off.
	orphaned uint64
	waiting  uint64
	// stuckSince is when requests began to wait without a grant; zero if none do.
	stuckSince time.Duration
	// yieldUntil is when the line may ask again after it returned its part.
	yieldUntil time.Duration
	// verify puts the line into the next report, so that its answer tells what
	// the account still counts as leased.
	verify bool
	// use is an exponentially decaying sum of holds; divided by its time constant
	// it is the rate of use.
	use    float64
	usedAt time.Duration
}

func newLedger(random func(n int64) int64) *ledger {
	return &ledger{customers: make(map[string]*line), random: random}
}

func (g *ledger) line(customer string) *line {
	l := g.customers[customer]
	if l == nil {
		l = &line{}
		g.customers[customer] = l
	}
	return l
}

func (l *line) free() uint64 {
	taken := l.reported + l.unreported + l.held
	if taken >= l.outstanding {
		return 0
	}
	return l.outstanding - taken
}

// hold reserves tokens; false if there are not enough.
func (g *ledger) hold(now time.Duration, customer string, tokens uint64) bool {
	l := g.line(customer)
	if tokens > l.free() {
		return false
	}
	l.held += tokens
	l.decay(now)
	l.use += float64(tokens)
	return true
}

// charge turns held tokens into spent ones.
func (g *ledger) charge(customer string, tokens uint64) {
	l := g.line(customer)
	written := min(tokens, l.orphaned)
	l.orphaned -= written
	tokens = min(tokens-written, l.held)
	l.held -= tokens
	l.unreported += tokens
}

// release returns the unspent rest of a hold.
func (g *ledger) release(customer string, rest uint64) {
	l := g.line(customer)
	written := min(rest, l.orphaned)
	l.orphaned -= written
	l.held -= min(rest-written, l.held)
	// Released tokens were no use.
	l.use = max(0, l.use-float64(rest))
}

// want states what waits now; true if it exceeds what is free.
func (g *ledger) want(customer string, tokens uint64) (urgent bool) {
	l := g.line(customer)
	l.waiting = tokens
	return tokens > l.free()
}

func (l *line) decay(now time.Duration) {
	elapsed := now - l.usedAt
	l.usedAt = now
	if l.use == 0 || elapsed <= 0 {
		return
	}
	l.use *= halfLives(elapsed)
	if l.use < 1 {
		l.use = 0
	}
}

// target is how many free tokens the customer should have.
func (l *line) target(now time.Duration) uint64 {
	l.decay(now)
	perSecond := l.use * ln2 / useHalfLife.Seconds()
	return l.waiting + uint64(perSecond*useWindow.Seconds())
}

// next returns the report to send and its number: the one in flight if it was
// not acknowledged, else a new one. It returns nil if there is nothing to say.
func (g *ledger) next(now time.Duration) (uint64, []*statev1.TokenUsage) {
	if g.report != nil {
		return g.seq, g.report
	}
	for customer, l := range g.customers {
		g.yield(now, l)
		if u := l.usage(now, customer); u != nil {
			g.report = append(g.report, u)
		}
	}
	if g.report == nil {
		return g.seq, nil
	}
	slices.SortFunc(g.report, func(a, b *statev1.TokenUsage) int { return compare(a.GetCustomer(), b.GetCustomer()) })
	g.seq++
	return g.seq, g.report
}

// yield notes since when requests wait in vain, and decides to return the
// line's part after a while.
func (g *ledger) yield(now time.Duration, l *line) {
	free := l.free()
	switch {
	case l.waiting <= free || free == 0:
		l.stuckSince = 0
	case l.stuckSince == 0:
		l.stuckSince = now + time.Duration(g.random(int64(stuckTime)))
	case now-l.stuckSince >= stuckTime:
		l.stuckSince = 0
		l.yieldUntil = now + yieldTime + time.Duration(g.random(int64(yieldTime)))
	}
}

// usage moves what the line has to say into a report.
func (l *line) usage(now time.Duration, customer string) *statev1.TokenUsage {
	u := &statev1.TokenUsage{Customer: customer, Charged: l.unreported}
	target := l.target(now)
	free := l.free()
	switch {
	case now < l.yieldUntil:
		u.Returned = free
	case free > keepFactor*target:
		u.Returned = free - target
	case free < target:
		u.Want = target - free
	}
	if u.Charged == 0 && u.Returned == 0 && u.Want == 0 && !l.verify {
		return nil
	}
	l.verify = false
	l.reported = u.Charged + u.Returned
	l.unreported = 0
	return u
}

// Moved is what one acknowledged report moved between the accounts and this
// entry. All amounts are tokens.
type Moved struct {
	Granted, Returned uint64
	// Free is what the entry may still spend, over all customers.
	Free uint64
	// grew says that waiting requests should try again.
	grew bool
}

// acknowledge takes over the answer to a report. An answer to an older report
// changes nothing.
func (g *ledger) acknowledge(seq uint64, grants []*statev1.TokenGrant) (m Moved) {
	if g.report == nil || seq != g.seq {
		return m
	}
	for _, u := range g.report {
		l := g.line(u.GetCustomer())
		l.reported = 0
		l.outstanding = 0
		m.Returned += u.GetReturned()
	}
	for _, grant := range grants {
		l := g.line(grant.GetCustomer())
		l.outstanding = grant.GetOutstanding()
		if grant.GetGranted() > 0 {
			l.stuckSince = 0
		}
		m.Granted += grant.GetGranted()
		m.grew = m.grew || grant.GetGranted() > 0 || l.free() > 0
	}
	g.report = nil
	for _, l := range g.customers {
		m.Free += l.free()
	}
	return m
}

// lapse is called when the leases may have been written off. Nothing is free
// until a report tells what is still leased. Holds stay: if the account wrote
// them off, counting them again is the safe side.
func (g *ledger) lapse() {
	for _, l := range g.customers {
		l.verify = true
		l.outstanding = 0
	}
}

// reset forgets all leases after the session ended.
func (g *ledger) reset() {
	g.seq = 0
	g.report = nil
	for _, l := range g.customers {
		l.orphaned += l.held
		l.outstanding, l.reported, l.unreported, l.held = 0, 0, 0, 0
	}
}

// closing returns the last report of a session: everything charged. The control
// role returns the rest of the lease to the account.
func (g *ledger) closing(now time.Duration) (uint64, []*statev1.TokenUsage) {
	seq, report := g.next(now)
	for _, u := range report {
		u.Want = 0
	}
	return seq, report
}
