package replica

import (
	"slices"
	"time"

	statev1 "github.com/radishloom/radishloom/api/state/v1"
)

const (
	// leaseWindow is the duration of recent use that an entry keeps leased in
	// advance, so that a steady stream of requests needs no urgent call between two
	// reports.
	leaseWindow = 2 * time.Second
	// useHalfLife is the half-life of balance.recentUse.
	useHalfLife = time.Second
	// starvationTimeout is how long requests wait without any grant before the
	// entry returns its free tokens. Two entries that each hold part of a burst and
	// wait for more would otherwise block each other until their deadlines.
	starvationTimeout = 300 * time.Millisecond
	// yieldDuration is how long an entry requests no tokens after it returned its
	// free ones, so that the other entry gets them. Random jitter of up to 100% is
	// added to both durations.
	yieldDuration = 200 * time.Millisecond
	// surplusFactor is the multiple of the target above which free tokens are
	// returned. Returning them as soon as they exceed the target would move tokens
	// back and forth.
	surplusFactor = 2
)

// ledger is the entry's side of the token leases. For each customer it tracks how
// many tokens the account counts as leased to this session, and how many of them
// were held, charged or returned since.
//
// Invariant: free = outstanding - reported - unreported - held, and holds are
// only granted out of free tokens, so that charges never exceed the leases.
type ledger struct {
	customers map[string]*balance
	// random returns a random number in [0, n).
	random func(n int64) int64
	// seq is the number of the last report, which is unacknowledged while report
	// is set.
	seq    uint64
	report []*statev1.TokenUsage
}

// balance holds the leased tokens of one customer. All amounts are tokens.
type balance struct {
	// outstanding is the number of leased tokens that the account counted after
	// the last acknowledged report.
	outstanding uint64
	// reported is charged or returned in the unacknowledged report.
	reported uint64
	// unreported was charged after the last report was built.
	unreported uint64
	held       uint64
	// orphaned is held by requests that began in an earlier session, whose leases
	// were written off.
	orphaned uint64
	// wanted is the sum of the tokens that waiting requests need.
	wanted uint64
	// starvedSince is when requests began to wait without a grant, plus jitter. It
	// is zero if none do.
	starvedSince time.Duration
	// yieldUntil is the time until which no tokens are requested.
	yieldUntil time.Duration
	// queryAccount includes the customer in the next report even without changes,
	// because the response says how many tokens are still leased.
	queryAccount bool
	// recentUse is an exponentially decaying sum of holds. Divided by its time
	// constant it is the rate of use.
	recentUse float64
	decayedAt time.Duration
}

func newLedger(random func(n int64) int64) *ledger {
	return &ledger{customers: make(map[string]*balance), random: random}
}

func (g *ledger) balance(customer string) *balance {
	b := g.customers[customer]
	if b == nil {
		b = &balance{}
		g.customers[customer] = b
	}
	return b
}

func (b *balance) free() uint64 {
	taken := b.reported + b.unreported + b.held
	if taken >= b.outstanding {
		return 0
	}
	return b.outstanding - taken
}

// hold reserves tokens. It returns false if there are not enough free ones.
func (g *ledger) hold(now time.Duration, customer string, tokens uint64) bool {
	b := g.balance(customer)
	if tokens > b.free() {
		return false
	}
	b.held += tokens
	b.decay(now)
	b.recentUse += float64(tokens)
	return true
}

// charge counts held tokens as spent. Orphaned tokens come first: they were
// written off and are not reported again.
func (g *ledger) charge(customer string, tokens uint64) {
	b := g.balance(customer)
	writtenOff := min(tokens, b.orphaned)
	b.orphaned -= writtenOff
	tokens = min(tokens-writtenOff, b.held)
	b.held -= tokens
	b.unreported += tokens
}

// release frees the unspent rest of a hold.
func (g *ledger) release(customer string, rest uint64) {
	b := g.balance(customer)
	writtenOff := min(rest, b.orphaned)
	b.orphaned -= writtenOff
	b.held -= min(rest-writtenOff, b.held)
	// Released tokens were not used.
	b.recentUse = max(0, b.recentUse-float64(rest))
}

// setWanted sets how many tokens waiting requests need. It returns true if that
// exceeds the free tokens.
func (g *ledger) setWanted(customer string, tokens uint64) (urgent bool) {
	b := g.balance(customer)
	b.wanted = tokens
	return tokens > b.free()
}

func (b *balance) decay(now time.Duration) {
	elapsed := now - b.decayedAt
	b.decayedAt = now
	if b.recentUse == 0 || elapsed <= 0 {
		return
	}
	b.recentUse *= decayFactor(elapsed)
	if b.recentUse < 1 {
		b.recentUse = 0
	}
}

// target returns how many free tokens the customer should have.
func (b *balance) target(now time.Duration) uint64 {
	b.decay(now)
	perSecond := b.recentUse * ln2 / useHalfLife.Seconds()
	return b.wanted + uint64(perSecond*leaseWindow.Seconds())
}

// nextReport returns the report to send and its number: the last one if it is
// unacknowledged, otherwise a new one. It returns nil if there is nothing to
// report.
func (g *ledger) nextReport(now time.Duration) (uint64, []*statev1.TokenUsage) {
	if g.report != nil {
		return g.seq, g.report
	}
	for customer, b := range g.customers {
		g.yieldIfStarved(now, b)
		if u := b.takeUsage(now, customer); u != nil {
			g.report = append(g.report, u)
		}
	}
	if g.report == nil {
		return g.seq, nil
	}
	slices.SortFunc(g.report, func(x, y *statev1.TokenUsage) int { return compare(x.GetCustomer(), y.GetCustomer()) })
	g.seq++
	return g.seq, g.report
}

// yieldIfStarved starts a yield period when requests have waited without a grant
// for starvationTimeout although the entry has some free tokens.
func (g *ledger) yieldIfStarved(now time.Duration, b *balance) {
	free := b.free()
	switch {
	case b.wanted <= free || free == 0:
		b.starvedSince = 0
	case b.starvedSince == 0:
		b.starvedSince = now + time.Duration(g.random(int64(starvationTimeout)))
	case now-b.starvedSince >= starvationTimeout:
		b.starvedSince = 0
		b.yieldUntil = now + yieldDuration + time.Duration(g.random(int64(yieldDuration)))
	}
}

// takeUsage returns the customer's part of a report, or nil if there is nothing
// to report, and counts its tokens as reported.
func (b *balance) takeUsage(now time.Duration, customer string) *statev1.TokenUsage {
	u := &statev1.TokenUsage{Customer: customer, Charged: b.unreported}
	target := b.target(now)
	free := b.free()
	switch {
	case now < b.yieldUntil:
		u.Returned = free
	case free > surplusFactor*target:
		u.Returned = free - target
	case free < target:
		u.Want = target - free
	}
	if u.Charged == 0 && u.Returned == 0 && u.Want == 0 && !b.queryAccount {
		return nil
	}
	b.queryAccount = false
	b.reported = u.Charged + u.Returned
	b.unreported = 0
	return u
}

// LeaseChange is the effect of one acknowledged report on the token leases of
// this entry. All amounts are tokens.
type LeaseChange struct {
	Granted, Returned uint64
	// Free is the number of tokens that the entry may still spend, over all
	// customers.
	Free uint64
	// grew is set if waiting requests should retry.
	grew bool
}

// acknowledge applies the grants of the response to a report. A response to an
// older report changes nothing.
func (g *ledger) acknowledge(seq uint64, grants []*statev1.TokenGrant) (m LeaseChange) {
	if g.report == nil || seq != g.seq {
		return m
	}
	for _, u := range g.report {
		b := g.balance(u.GetCustomer())
		b.reported = 0
		b.outstanding = 0
		m.Returned += u.GetReturned()
	}
	for _, grant := range grants {
		b := g.balance(grant.GetCustomer())
		b.outstanding = grant.GetOutstanding()
		if grant.GetGranted() > 0 {
			b.starvedSince = 0
		}
		m.Granted += grant.GetGranted()
		m.grew = m.grew || grant.GetGranted() > 0 || b.free() > 0
	}
	g.report = nil
	for _, b := range g.customers {
		m.Free += b.free()
	}
	return m
}

// expireLeases drops the free tokens, since the account may have written them
// off, until the response to a report says how many are still leased. Holds stay:
// counting tokens twice that the account wrote off errs on the safe side.
func (g *ledger) expireLeases() {
	for _, b := range g.customers {
		b.queryAccount = true
		b.outstanding = 0
	}
}

// reset drops all leases after the session ended. Held tokens become orphaned.
func (g *ledger) reset() {
	g.seq = 0
	g.report = nil
	for _, b := range g.customers {
		b.orphaned += b.held
		b.outstanding, b.reported, b.unreported, b.held = 0, 0, 0, 0
	}
}

// finalReport returns the last report of a session, which requests no tokens. The
// control role returns the rest of the leases to the accounts.
func (g *ledger) finalReport(now time.Duration) (uint64, []*statev1.TokenUsage) {
	seq, report := g.nextReport(now)
	for _, u := range report {
		u.Want = 0
	}
	return seq, report
}
