package allot

import "time"

const (
	// maxDrift is by how much the wall clock and the monotonic clock may move apart before
	// the times of pledges and tokens count as unknown. Adjustments by the time service are
	// below a millisecond a second.
	maxDrift = 200 * time.Millisecond
	// anchorTime is how long both clocks are compared with the same moment.
	anchorTime = time.Minute
)

// Clock reads the clocks of a node. The zero value reads those of the runtime. Tests replace
// them to suspend a node.
type Clock struct {
	// Mono is the clock by which times are measured, and Wall the one that shows that Mono
	// has been stopped.
	Mono, Wall func() time.Time
}

func (c Clock) now() time.Time {
	if c.Mono == nil {
		return time.Now()
	}
	return c.Mono()
}

func (c Clock) wall() time.Time {
	if c.Wall == nil {
		return time.Now().Round(0)
	}
	return c.Wall().Round(0)
}

// watch detects that the process was suspended or that the wall clock was stepped: some
// platforms stop the monotonic clock while a VM is suspended.
type watch struct {
	Clock
	// mono and seen are the readings of both clocks that later ones are compared with.
	mono, seen time.Time
}

func newWatch(c Clock) watch { return watch{Clock: c, mono: c.now(), seen: c.wall()} }

// jumped reports whether the clocks have moved apart since the last call.
func (c *watch) jumped(now time.Time) bool {
	wall := c.wall()
	passed := now.Sub(c.mono)
	drift := wall.Sub(c.seen) - passed
	jumped := drift > maxDrift || drift < -maxDrift
	if jumped || passed > anchorTime {
		c.mono, c.seen = now, wall
	}
	return jumped
}
