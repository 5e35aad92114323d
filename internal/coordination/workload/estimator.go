package workload

import (
	"container/list"
	"math"
	"time"

	"github.com/radishloom/radishloom/internal/coordination/statistics"
)

// Parameters of the estimate.
const (
	// priorRatio is the ratio of generated to stated tokens while nothing is known.
	priorRatio = 0.7
	// minRatio bounds a ratio from below. The caller states an upper bound, so 1
	// bounds it from above.
	minRatio = 0.01
	// priorMeanError is the squared error of the mean while nothing is known. The error
	// of the hint is zero then, so that the hint is used as it is.
	priorMeanError = 0.1
	// maxWeight bounds the weight of the observations of a key, and
	// maxContribution the weight of a key in the mean of its parent, so that a
	// customer with many requests counts there no more than others.
	maxWeight       = 64
	maxContribution = 8
	// shrinkWeight is the weight of a parent's estimate in that of its child.
	shrinkWeight = 8
	// observationHalfLife is the half-life of the weight of a key's observations.
	observationHalfLife = 10 * time.Minute
	// maxKeys bounds the number of keys, parents included. Each takes about 0.5 KB.
	maxKeys = 2048
)

// Key says to which request a number of tokens belongs.
type Key struct{ Route, Model, Adapter, Customer string }

// Features are the numbers that are known before a request runs.
type Features struct {
	// PromptTokens and OutputLimit are stated by the caller. OutputLimit is an upper
	// bound.
	PromptTokens, OutputLimit int
	// Hint is the caller's estimate of the output tokens, or zero.
	Hint int
}

// The quantities that are averaged for each key.
const (
	ratio     = iota // of generated to stated tokens
	meanError        // squared error of the mean ratio, of requests with a hint
	hintError        // squared error of the hint as a ratio
	quantities
)

// average is a sum of values with their weight.
type average struct{ weight, sum float64 }

func (a *average) add(o average) { a.weight, a.sum = a.weight+o.weight, a.sum+o.sum }

func (a average) scaled(f float64) average { return average{a.weight * f, a.sum * f} }

// capped returns the same mean with at most the given weight.
func (a average) capped(weight float64) average {
	if a.weight <= weight {
		return a
	}
	return a.scaled(weight / a.weight)
}

// estimates holds the estimate of each quantity.
type estimates [quantities]float64

func prior() estimates { return estimates{ratio: priorRatio, meanError: priorMeanError} }

// level distinguishes keys of different coarseness.
type level int

// The levels, from the coarsest. A level between the model and the customer's adapter
// keeps one customer with many adapters from counting as many customers.
const (
	routeLevel level = iota
	modelLevel
	customerLevel
	adapterLevel
	levels
)

// nodeKey identifies a node.
type nodeKey struct {
	Key
	level level
}

// at returns the key of the node of a level that a request belongs to.
func (k Key) at(l level) nodeKey {
	switch l {
	case routeLevel:
		k.Model, k.Customer = "", ""
	case modelLevel:
		k.Customer = ""
	}
	if l != adapterLevel {
		k.Adapter = ""
	}
	return nodeKey{k, l}
}

// node has the averages of a key: of its observations at the finest level, of its
// children's averages otherwise.
type node struct {
	key         nodeKey
	averages    [quantities]average
	contributed [quantities]average // what the parent's averages contain
	observedAt  time.Duration       // at the finest level
	recent      *list.Element
}

// Estimator predicts output tokens from what requests that are alike generated.
type Estimator struct {
	nodes map[nodeKey]*node
	// recent orders the nodes by their last observation, latest first. Parents are
	// ahead of their children.
	recent *list.List
	now    time.Duration // of the last observation
}

// NewEstimator returns an Estimator without observations.
func NewEstimator() *Estimator { return &Estimator{nodes: map[nodeKey]*node{}, recent: list.New()} }

// Output returns the expected number of output tokens of a request.
func (e *Estimator) Output(k Key, f Features) (tokens int) {
	if f.OutputLimit <= 0 {
		return 0
	}
	predicted := e.estimates(k).predict(f)
	return int(predicted * float64(f.OutputLimit))
}

// Observe records that a request generated a number of tokens up to its end.
func (e *Estimator) Observe(now time.Duration, k Key, f Features, generated int) {
	if f.OutputLimit <= 0 || generated <= 0 {
		return
	}
	e.now = max(e.now, now)
	actual := statistics.Clip(float64(generated)/float64(f.OutputLimit), minRatio, 1)
	values := [quantities]average{ratio: {1, actual}}
	if hint, ok := f.hintRatio(); ok {
		values[meanError] = average{1, square(e.estimates(k)[ratio] - actual)}
		values[hintError] = average{1, square(hint - actual)}
	}
	leaf := e.node(k.at(adapterLevel))
	leaf.observe(e.now, values)
	child := leaf
	for l := customerLevel; l >= routeLevel; l-- {
		parent := e.node(k.at(l))
		child.contribute(parent)
		child = parent
	}
	e.evict()
}

// estimates returns the estimates for a key: those of each level, shrunk towards those
// of the coarser one.
func (e *Estimator) estimates(k Key) estimates {
	out := prior()
	for l := routeLevel; l < levels; l++ {
		n := e.nodes[k.at(l)]
		if n == nil {
			return out
		}
		age := 1.0
		if l == adapterLevel {
			age = decay(e.now - n.observedAt)
		}
		for i, a := range n.averages {
			a = a.scaled(age)
			out[i] = (a.sum + shrinkWeight*out[i]) / (a.weight + shrinkWeight)
		}
	}
	return out
}

// predict returns the expected ratio: the mean and the hint, weighted by how well each
// of them predicted.
func (s estimates) predict(f Features) float64 {
	hint, ok := f.hintRatio()
	if !ok {
		return s[ratio]
	}
	weight := s[meanError] / (s[meanError] + s[hintError])
	return weight*hint + (1-weight)*s[ratio]
}

// hintRatio returns the hint as a ratio to the stated limit.
func (f Features) hintRatio() (float64, bool) {
	if f.Hint <= 0 {
		return 0, false
	}
	return min(1, float64(f.Hint)/float64(f.OutputLimit)), true
}

// observe adds the values of one observation.
func (n *node) observe(now time.Duration, values [quantities]average) {
	age := decay(now - n.observedAt)
	n.observedAt = now
	for i := range n.averages {
		n.averages[i] = n.averages[i].scaled(age).capped(maxWeight - 1)
		n.averages[i].add(values[i])
	}
}

// contribute replaces what the node's averages contribute to its parent's.
func (n *node) contribute(parent *node) {
	for i := range n.averages {
		next := n.averages[i].capped(maxContribution)
		parent.averages[i].add(n.contributed[i].scaled(-1))
		parent.averages[i].add(next)
		n.contributed[i] = next
	}
}

// node returns the node of a key as the most recent one. It is created if necessary.
func (e *Estimator) node(k nodeKey) *node {
	n := e.nodes[k]
	if n == nil {
		n = &node{key: k, observedAt: e.now}
		n.recent = e.recent.PushFront(n)
		e.nodes[k] = n
	}
	e.recent.MoveToFront(n.recent)
	return n
}

// evict removes the least recently observed keys in excess of maxKeys. A parent is
// observed after its children, so that it is never removed before them.
func (e *Estimator) evict() {
	for len(e.nodes) > maxKeys {
		last := e.recent.Back()
		n := last.Value.(*node)
		e.recent.Remove(last)
		delete(e.nodes, n.key)
		if n.key.level == routeLevel {
			continue
		}
		if parent := e.nodes[n.key.at(n.key.level-1)]; parent != nil {
			n.averages = [quantities]average{}
			n.contribute(parent)
		}
	}
}

// decay returns the factor by which a weight decreases in a time.
func decay(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / observationHalfLife.Seconds())
}

func square(x float64) float64 { return x * x }
