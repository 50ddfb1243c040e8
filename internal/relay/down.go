package relay

import (
	"strings"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/pkg/canary"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

const (
	// crashedTime is how long an upstream counts as down after its process has ended.
	// The registry removes or replaces it within it.
	crashedTime = 3 * time.Second
	// refusedTime is how long it does after it has refused a connection.
	refusedTime = 500 * time.Millisecond
	// uncertainTime is how long an upstream that closed a connection without a response
	// does not count as one to spare. It is checked within it.
	uncertainTime = 300 * time.Millisecond
	// initialRestart is the assumed time from a crash to the upstream's successor.
	initialRestart = 2 * time.Second
	// restartSmoothing is the weight of a new measurement in the moving average of that
	// time, and maxRestart the longest one that counts as a restart.
	restartSmoothing = 0.2
	maxRestart       = 15 * time.Second
	// minBackIn is the least time after which an upstream is worth another try.
	minBackIn = 200 * time.Millisecond
)

// downState is this node's view of whether the process of an upstream has ended.
type downState struct {
	// since is when the first sign was seen, and until how long it counts. uncertain is
	// how long it is in doubt. All are in nanoseconds since 1970.
	since, until, uncertain atomic.Int64
}

// mark records a sign that the process has ended, which counts for the given time.
func (d *downState) mark(now time.Time, counts time.Duration) {
	if !d.isSet(now) {
		d.since.Store(now.UnixNano())
	}
	d.until.Store(max(d.until.Load(), now.Add(counts).UnixNano()))
}

// doubt records that the process may have ended.
func (d *downState) doubt(now time.Time) { d.uncertain.Store(now.Add(uncertainTime).UnixNano()) }

// settle ends a doubt whether the process has ended.
func (d *downState) settle() { d.uncertain.Store(0) }

// clear records that the process has responded.
func (d *downState) clear() {
	d.until.Store(0)
	d.uncertain.Store(0)
}

func (d *downState) isSet(now time.Time) bool { return now.UnixNano() < d.until.Load() }

func (d *downState) isUncertain(now time.Time) bool { return now.UnixNano() < d.uncertain.Load() }

// shard returns how many upstreams the service has, and how many of them are live without
// doubt. Unlike live, it does not count one that has just closed a connection.
func (s *serviceUpstreams) shard(now time.Time) canary.Shard {
	n := 0
	for _, u := range s.upstreams {
		if !u.down.isUncertain(now) && u.isLive(now) {
			n++
		}
	}
	return canary.Shard{Listed: len(s.upstreams), Live: n}
}

// isUp reports whether the upstream is not known to be down.
func (u *upstream) isUp(now time.Time) bool { return !u.down.isSet(now) && !u.stats.Excluded(now) }

// isLive reports whether the upstream is up and accepts requests.
func (u *upstream) isLive(now time.Time) bool { return u.isUp(now) && u.advice.Accepts(now) }

// live returns the number of live upstreams.
func (s *serviceUpstreams) live(now time.Time) int { return s.count(now, (*upstream).isLive) }

func (s *serviceUpstreams) count(now time.Time, counts func(*upstream, time.Time) bool) int {
	n := 0
	for _, u := range s.upstreams {
		if counts(u, now) {
			n++
		}
	}
	return n
}

// live returns the number of live upstreams of a service.
func (d *directory) live(service string, now time.Time) int {
	s, ok := d.byService[service]
	if !ok {
		return 0
	}
	return s.live(now)
}

// lost returns how many of the services have no live upstream.
func (d *directory) lost(services []string, now time.Time) int {
	n := 0
	for _, s := range services {
		if d.live(s, now) == 0 {
			n++
		}
	}
	return n
}

// LearnCrashes merges the reports of another node and returns those that were not known.
// The upstreams in them count as down.
func (e *Engine) LearnCrashes(reports []poison.Report) []poison.Report {
	added := e.tracker.Merge(reports)
	now := time.Now()
	for _, r := range added {
		if r.Kind != poison.Crashed || r.Presumed || r.Age > crashedTime {
			continue
		}
		id, _, _ := strings.Cut(r.Crash, "/")
		if u, ok := e.upstreams.Load().byID[id]; ok && u.incarnation() == r.Crash {
			u.down.mark(now, crashedTime-r.Age)
			u.recoversAt(now)
		}
	}
	return added
}

// observeRestart measures, when a new upstream appears, how long the service has been
// without one that is down.
func (e *Engine) observeRestart(d *directory, service string) {
	s, ok := d.byService[service]
	if !ok {
		return
	}
	now := time.Now()
	for _, u := range s.upstreams {
		took := now.Sub(time.Unix(0, u.down.since.Load()))
		if !u.down.isSet(now) || took > maxRestart {
			continue
		}
		old := e.restart.Load()
		e.restart.Store(old + int64(restartSmoothing*float64(int64(took)-old)))
	}
}

// backIn estimates when an upstream of a service that has none is back, given the usual time
// from a crash to the upstream's successor.
func (d *directory) backIn(services []string, restart time.Duration) time.Duration {
	now := time.Now()
	longest := time.Duration(0)
	for _, service := range services {
		s, ok := d.byService[service]
		if !ok || s.live(now) > 0 {
			continue
		}
		for _, u := range s.upstreams {
			if u.down.isSet(now) {
				since := time.Unix(0, u.down.since.Load())
				longest = max(longest, restart-now.Sub(since))
			}
		}
	}
	return max(longest, minBackIn)
}
