package relay

import (
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/pkg/place"
)

// dialSmoothing is the weight of a new measurement in the moving average of the time to open a
// connection.
const dialSmoothing = 0.1

// dialTimes holds the average time to open a connection by distance, in nanoseconds, and 0 until
// the first one. It is safe for concurrent use.
type dialTimes [place.OtherRegion + 1]atomic.Int64

func (d *dialTimes) record(distance place.Distance, took time.Duration) {
	old := d[distance].Load()
	if old == 0 {
		d[distance].Store(int64(took))
		return
	}
	d[distance].Store(old + int64(dialSmoothing*float64(int64(took)-old)))
}

// connectTime returns the time that a request to the upstream waits for a new connection: none
// if one is idle.
func (e *Engine) connectTime(u *upstream) time.Duration {
	if u.pool.HasIdle() {
		return 0
	}
	return time.Duration(e.dialTimes[u.stats.Distance()].Load())
}
