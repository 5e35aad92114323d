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
	// rateHeadroom is the ratio of a customer's rate to its mean demand;
	// burstSeconds is the ratio of its burst to its rate.
	rateHeadroom = 1.4
	burstSeconds = 3
	// highPriorityShare is the fraction of the requests with high priority.
	highPriorityShare = 0.4
	// serviceShare is the fraction of the requests that go to the service. Half of
	// them are not idempotent.
	serviceShare = 0.15
	// repeatShare is the fraction of the non-idempotent calls that the caller sends
	// a second time, before or after it receives the response.
	repeatShare     = 0.1
	meanRepeatDelay = 30 * time.Millisecond
	// Each customer's request rate is multiplied by highPhaseFactor or lowPhaseFactor
	// for phases of mean length meanPhaseTime. highPhaseShare is the fraction of the
	// phases with high demand; weighted by it, the mean of the factors is one.
	meanPhaseTime     = 800 * time.Millisecond
	highPhaseFactor   = 1.8
	lowPhaseFactor    = 0.467
	highPhaseShare    = 0.4
	sharedPromptBytes = 1100
	sharedPromptShare = 0.5
	adapterShare      = 0.3
	floodFactor       = 5
	demandShiftFactor = 10
	poisonInterval    = 400 * time.Millisecond
	poisonMark        = "this request crashes engines"
	bytesPerToken     = 4
	meanSlotSeconds   = 0.8
	meanRequestTokens = 370.0 // prompt and output of one model request
)

// kind is the type of a request.
type kind int

const (
	modelRequest kind = iota
	statusRequest
	confirmRequest
)

// request is one request of the traffic.
type request struct {
	seq          int
	at           time.Duration
	kind         kind
	customer     int
	profile      profile
	entry        int
	route        string
	body         string
	outputTokens int // max_tokens; a complete output has exactly this many
	promptTokens int
	key          string // idempotency key
	repeat       bool
	poison       bool
	withinRate   bool // within the customer's rate
}

// traffic holds all requests of one run.
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

// newTraffic generates the requests of a run. The same seed gives the same
// requests.
func newTraffic(c RunConfig) traffic {
	g := &generator{
		d: c.Deployment, scenario: c.Scenario, length: c.Length, rng: rand.New(rand.NewPCG(c.Seed, 1)),
		rps: float64(c.Deployment.Engines*engineSlots) * c.Utilisation / meanSlotSeconds,
	}
	t := traffic{rate: g.rps * meanRequestTokens * rateHeadroom}
	for c, share := range customers() {
		t.requests = append(t.requests, g.customer(c, share)...)
	}
	t.requests = append(t.requests, g.poison()...)
	slices.SortStableFunc(t.requests, func(a, b *request) int { return int(a.at - b.at) })
	for i, r := range t.requests {
		r.seq = i
		g.fillContent(r)
	}
	t.markWithinRate()
	return t
}

// customer generates the requests of one customer: a Poisson process whose rate
// changes between phases.
func (g *generator) customer(c int, share float64) []*request {
	var out []*request
	phase, until := 1.0, time.Duration(0)
	for at := time.Duration(0); ; {
		if at >= until {
			phase = lowPhaseFactor
			if g.rng.Float64() < highPhaseShare {
				phase = highPhaseFactor
			}
			until = at + time.Duration(float64(meanPhaseTime)*g.rng.ExpFloat64())
		}
		rate := g.rps / (1 - serviceShare) * share * phase
		if g.flooding(c, at) {
			rate = g.rps / (1 - serviceShare) * share * rateHeadroom * floodFactor
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

// request generates one request, and its repetition if there is one.
func (g *generator) request(c int, at time.Duration) []*request {
	r := &request{at: at, customer: c, entry: g.entry(), profile: profiles()[0]}
	if g.rng.Float64() < highPriorityShare {
		r.profile = profiles()[1]
	}
	if g.rng.Float64() >= serviceShare {
		return []*request{r}
	}
	r.profile = profiles()[1]
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
	again.at += time.Duration(g.rng.Float64() * 2 * float64(meanRepeatDelay))
	again.entry, again.repeat = g.entry(), true
	return []*request{r, &again}
}

// entry draws an entry. The first entry gets about four times as many requests as
// the last.
func (g *generator) entry() int {
	weights := make([]float64, entryCount)
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

// model draws a model. After a demand shift the least popular model has ten times
// its demand and the most popular one a tenth.
func (g *generator) model(at time.Duration) int {
	weights := g.d.popularity()
	if g.scenario == DemandShift && at > g.length/3 {
		weights[0] /= demandShiftFactor
		weights[len(weights)-1] *= demandShiftFactor
		weights = normalise(weights)
	}
	return g.draw(weights)
}

// fillContent draws the route and the body of a request.
func (g *generator) fillContent(r *request) {
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
	r.route = name + "-" + r.profile.name
	if adapters := g.d.adaptersOf(m); g.rng.Float64() < adapterShare && len(adapters) > 0 {
		name = adapters[g.rng.IntN(len(adapters))]
	}
	shared := ""
	if g.rng.Float64() < sharedPromptShare {
		shared = strings.Repeat(modelName(m)+" ", sharedPromptBytes/len(modelName(m)+" "))
	}
	own := strings.Repeat("x", r.profile.minPrompt+g.rng.IntN(r.profile.maxPrompt-r.profile.minPrompt))
	r.outputTokens = r.profile.minTokens + g.rng.IntN(r.profile.maxTokens-r.profile.minTokens)
	r.setBody(name, shared, fmt.Sprint("r", r.seq, " ", own))
}

// setBody builds the body with the shared part of the prompt first, so that engines
// can cache this prefix.
func (r *request) setBody(model, shared, own string) {
	messages := fmt.Sprintf(`[{"role":"system","content":%q},{"role":"user","content":%q}]`, shared, own)
	r.promptTokens = len(messages)/bytesPerToken + 1
	r.body = fmt.Sprintf(`{"messages":%s,"model":%q,"max_tokens":%d,"stream":true,"user":"r%d"}`, messages, model, r.outputTokens, r.seq)
}

// poison generates a request that crashes engines, and its repetitions through
// different entries.
func (g *generator) poison() []*request {
	if g.scenario != Poison {
		return nil
	}
	var out []*request
	low := profiles()[0]
	for at := g.length / 5; at < g.length*9/10; at += poisonInterval {
		r := &request{at: at, customer: 2, profile: low, entry: g.entry(), outputTokens: 20, poison: true, route: modelName(0) + "-low", seq: -1}
		r.setBody(modelName(0), "", poisonMark)
		out = append(out, r)
	}
	return out
}

// markWithinRate marks the requests that fit into their customer's rate, with one
// token bucket for each customer. A request consumes its prompt and its longest
// possible output; one that does not fit consumes nothing.
func (t *traffic) markWithinRate() {
	level := make([]float64, len(customers()))
	last := make([]time.Duration, len(level))
	for c, share := range customers() {
		level[c] = share * t.rate * burstSeconds
	}
	for _, r := range t.requests {
		if r.kind != modelRequest || r.poison {
			r.withinRate = r.kind != modelRequest
			continue
		}
		c := r.customer
		rate := customers()[c] * t.rate
		level[c] = min(rate*burstSeconds, level[c]+rate*(r.at-last[c]).Seconds())
		last[c] = r.at
		if need := float64(r.promptTokens + r.outputTokens); need <= level[c] {
			level[c] -= need
			r.withinRate = true
		}
	}
}
