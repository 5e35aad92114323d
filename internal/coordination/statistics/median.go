// Package statistics has estimators of running statistics. It has no I/O and no clock,
// and is not safe for concurrent use.
package statistics

// lastMedianStep is the smallest step of the estimate of a median, in powers of two. It
// lets the estimate follow a lasting change.
const lastMedianStep = 0.02

// Median estimates the median of logarithms to the base of two by steps towards each of
// them. The zero value has none.
type Median struct {
	value float64
	count int
}

// Add adds a value. The step towards it is at most firstStep divided by the number of
// values, but not smaller than lastMedianStep.
func (m *Median) Add(x, firstStep float64) {
	m.count++
	if m.count == 1 {
		m.value = x
		return
	}
	step := max(lastMedianStep, firstStep/float64(m.count))
	m.value += Clip(x-m.value, -step, step)
}

// Value returns the estimate; zero without values.
func (m *Median) Value() float64 { return m.value }

// Count returns the number of values.
func (m *Median) Count() int { return m.count }

// Clip returns the number between low and high that is closest to x.
func Clip(x, low, high float64) float64 { return min(max(x, low), high) }
