package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"
)

const (
	// rateMargin is a customer's rate over its mean demand, burstSeconds its
	// burst over its rate.
	rateMargin   = 1.4
	burstSeconds = 3
	// highShare is the part of the requests with the high priority.
	highShare = 0.4
	// serviceShare is the part of the requests that goes to the service; half of
	// those must not run twice.
	serviceShare = 0.15
	// repeatShare is the part of the non-idempotent calls that their caller
	// sends again while it waits or after the answer.
	repeatShare = 0.1
	repeatAfter = 30 * time.Millisecond
	// Customers switch between phases of high and low demand; the mean is one.
	phaseTime          = 800 * time.Millisecond
	highPhase          = 1.8
	lowPhase           = 0.467
	highPhaseShare     = 0.4
	sharedPromptBytes  = 1100
	sharedPromptShare  = 0.5
	adapterShare       = 0.3
	floodFactor        = 5
	moveFactor         = 10
	poisonInterval     = 400 * time.Millisecond
	poisonMark         = "this request crashes engines"
	bytesPerToken      = 4
	meanSlotSeconds    = 0.8
	meanTokensOfModels = 370.0 // prompt and output of one model request
)

// kind is what a request asks for.
type kind int

const (
	modelRequest kind = iota
	statusRequest
	confirmRequest
)

// request is one arrival.
type request struct {
	seq      int
	at       time.Duration
	kind     kind
	customer int
	class    class
	entry    int
	route    string
	body     string
	tokens   int // output
	prompt   int
	key      string // idempotency key
	repeat   bool
	poison   bool
	inside   bool // within the customer's rate
}

// traffic is all that is sent in one run.
type traffic struct {
	requests []*request
	rate     float64 // sum of the customers' rates in tokens per second
}

type generator struct {
	d        Deployment
	rng      *rand.Rand
	scenario Scenario
	length   time.Duration
	rps      float64
}

// newTraffic makes the arrivals of a run. The same seed gives the same ones.
func newTraffic(c Cell) traffic {
	g := &generator{
		d: c.Deployment, scenario: c.Scenario, length: c.Length, rng: rand.New(rand.NewPCG(c.Seed, 1)),
		rps: float64(c.Deployment.Engines*slots) * c.Utilisation / meanSlotSeconds,
	}
	t := traffic{rate: g.rps * meanTokensOfModels * rateMargin}
	for c, share := range customers() {
		t.requests = append(t.requests, g.customer(c, share)...)
	}
	t.requests = append(t.requests, g.poison()...)
	slices.SortStableFunc(t.requests, func(a, b *request) int { return int(a.at - b.at) })
	for i, r := range t.requests {
		r.seq = i
		g.write(r)
	}
	t.markInside()
	return t
}

// customer makes the arrivals of one customer, a Poisson process whose rate
// changes with the phases.
func (g *generator) customer(c int, share float64) []*request {
	var out []*request
	phase, until := 1.0, time.Duration(0)
	for at := time.Duration(0); ; {
		if at >= until {
			phase = lowPhase
			if g.rng.Float64() < highPhaseShare {
				phase = highPhase
			}
			until = at + time.Duration(float64(phaseTime)*g.rng.ExpFloat64())
		}
		rate := g.rps / (1 - serviceShare) * share * phase
		if g.flooding(c, at) {
			rate = g.rps / (1 - serviceShare) * share * rateMargin * floodFactor
		}
		at += time.Duration(g.rng.ExpFloat64() / rate * float64(time.Second))
		if at >= g.length {
			return out
		}
		out = append(out, g.request(c, at)...)
	}
}

func (g *generator) flooding(c int, at time.Duration) bool {
	return g.scenario == Flood && c == 1 && at > g.length/4 && at < g.length*3/4
}

// request makes one arrival, and the repeat of it if there is one.
func (g *generator) request(c int, at time.Duration) []*request {
	r := &request{at: at, customer: c, entry: g.entry(), class: classes()[0]}
	if g.rng.Float64() < highShare {
		r.class = classes()[1]
	}
	if g.rng.Float64() >= serviceShare {
		return []*request{r}
	}
	r.class = classes()[1]
	r.kind = statusRequest
	if g.rng.IntN(2) == 0 {
		return []*request{r}
	}
	r.kind = confirmRequest
	r.key = fmt.Sprintf("key-%d", g.rng.Uint64())
	if g.rng.Float64() >= repeatShare {
		return []*request{r}
	}
	again := *r
	again.at += time.Duration(g.rng.Float64() * 2 * float64(repeatAfter))
	again.entry, again.repeat = g.entry(), true
	return []*request{r, &again}
}

// entry draws an entry; the first gets about four times as much as the last.
func (g *generator) entry() int {
	weights := make([]float64, entries)
	for i := range weights {
		weights[i] = math.Pow(float64(i+1), -0.65)
	}
	return g.draw(normalise(weights))
}

func (g *generator) draw(weights []float64) int {
	x := g.rng.Float64()
	for i, w := range weights {
		if x -= w; x < 0 {
			return i
		}
	}
	return len(weights) - 1
}

// model draws a model. After the move the least popular model has ten times its
// demand and the most popular one a tenth.
func (g *generator) model(at time.Duration) int {
	weights := g.d.popularity()
	if g.scenario == Move && at > g.length/3 {
		weights[0] /= moveFactor
		weights[len(weights)-1] *= moveFactor
		weights = normalise(weights)
	}
	return g.draw(weights)
}

// write draws the content of a request.
func (g *generator) write(r *request) {
	switch {
	case r.poison:
		return
	case r.kind == confirmRequest:
		r.route, r.body = "confirm", `{"call":"`+r.key+`"}`
		return
	case r.kind == statusRequest:
		r.route = "status"
		return
	}
	m := g.model(r.at)
	name := modelName(m)
	r.route = name + "-" + r.class.name
	if adapters := g.d.adaptersOf(m); g.rng.Float64() < adapterShare && len(adapters) > 0 {
		name = adapters[g.rng.IntN(len(adapters))]
	}
	shared := ""
	if g.rng.Float64() < sharedPromptShare {
		shared = strings.Repeat(modelName(m)+" ", sharedPromptBytes/len(modelName(m)+" "))
	}
	own := strings.Repeat("x", r.class.minPrompt+g.rng.IntN(r.class.maxProm-r.class.minPrompt))
	r.tokens = r.class.minTokens + g.rng.IntN(r.class.maxToks-r.class.minTokens)
	r.setBody(name, shared, fmt.Sprint("r", r.seq, " ", own))
}

// setBody puts the shared part first, so that its prefix can be cached.
func (r *request) setBody(model, shared, own string) {
	messages := fmt.Sprintf(`[{"role":"system","content":%q},{"role":"user","content":%q}]`, shared, own)
	r.prompt = len(messages)/bytesPerToken + 1
	r.body = fmt.Sprintf(`{"messages":%s,"model":%q,"max_tokens":%d,"stream":true,"user":"r%d"}`, messages, model, r.tokens, r.seq)
}

// poison is one request that is sent again and again through changing entries.
func (g *generator) poison() []*request {
	if g.scenario != Poison {
		return nil
	}
	var out []*request
	low := classes()[0]
	for at := g.length / 5; at < g.length*9/10; at += poisonInterval {
		r := &request{at: at, customer: 2, class: low, entry: g.entry(), tokens: 20, poison: true, route: modelName(0) + "-low", seq: -1}
		r.setBody(modelName(0), "", poisonMark)
		out = append(out, r)
	}
	return out
}

// markInside runs one token bucket for each customer over the arrivals. The
// longest possible answer counts, and a request that does not fit counts
// nothing.
func (t *traffic) markInside() {
	level := make([]float64, len(customers()))
	last := make([]time.Duration, len(level))
	for c, share := range customers() {
		level[c] = share * t.rate * burstSeconds
	}
	for _, r := range t.requests {
		if r.kind != modelRequest || r.poison {
			r.inside = r.kind != modelRequest
			continue
		}
		c := r.customer
		rate := customers()[c] * t.rate
		level[c] = min(rate*burstSeconds, level[c]+rate*(r.at-last[c]).Seconds())
		last[c] = r.at
		if need := float64(r.prompt + r.tokens); need <= level[c] {
			level[c] -= need
			r.inside = true
		}
	}
}
