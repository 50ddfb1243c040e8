package quota

import "math"

// minRate is the lowest limit in requests per second. An upstream that accepts nothing would
// never be asked whether it accepts requests again.
const minRate = 0.1

// Limit is what an upstream states in an answer: At(rate), None or Unstated.
// The zero value is None.
type Limit struct {
	kind limitKind
	rate float64
}

type limitKind uint8

const (
	none limitKind = iota
	unstated
	at
)

// None is the limit of an answer without one. It ends an earlier limit.
var None = Limit{}

// Unstated is the limit of an answer that cannot be interpreted. It changes nothing.
var Unstated = Limit{kind: unstated}

// At returns a limit in requests per second. A negative rate, or one that is not a number,
// is unstated.
func At(ratePerSecond float64) Limit {
	if !(ratePerSecond >= 0) || math.IsInf(ratePerSecond, 1) {
		return Unstated
	}
	return Limit{kind: at, rate: max(ratePerSecond, minRate)}
}

// Rate returns the requests per second, or false if there is no limit.
func (l Limit) Rate() (perSecond float64, ok bool) { return l.rate, l.kind == at }
