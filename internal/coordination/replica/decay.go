package replica

import (
	"cmp"
	"math"
	"time"
)

const ln2 = math.Ln2

// halfLives returns the share of measured use that is left after a time.
func halfLives(elapsed time.Duration) float64 {
	return math.Exp2(-elapsed.Seconds() / useHalfLife.Seconds())
}

func compare(a, b string) int { return cmp.Compare(a, b) }
