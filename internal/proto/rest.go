package proto

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRestSeconds is the longest rest that is told apart from longer ones: one year.
const maxRestSeconds = 365 * 24 * 60 * 60

// ReadRest returns how long an upstream wants no requests according to the Retry-After
// headers of its rejection, the longest of several: seconds, also with fractions, or a date.
// A date counts from that of the reply, because the clocks differ. A value that is neither a
// date nor a positive, finite number says nothing.
func ReadRest(h http.Header) time.Duration {
	longest := time.Duration(0)
	for _, v := range h.Values("Retry-After") {
		if seconds, err := strconv.ParseFloat(strings.TrimSpace(v), 64); err == nil && seconds > 0 && !math.IsInf(seconds, 0) {
			longest = max(longest, time.Duration(min(seconds, maxRestSeconds)*float64(time.Second)))
			continue
		}
		until, err := http.ParseTime(v)
		sent, sentErr := http.ParseTime(h.Get("Date"))
		if err == nil && sentErr == nil {
			longest = max(longest, until.Sub(sent))
		}
	}
	return longest
}
