package replica

import (
	"cmp"
	"math"
	"time"
)

const ln2 = math.Ln2

// decayFactor returns the fraction of the measured use that remains after the
// elapsed time.
func decayFactor(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / useHalfLife.Seconds())
}

func compare(a, b string) int { return cmp.Compare(a, b) }
