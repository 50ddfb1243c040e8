package relay

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/tasks"
	"geraniumstep.org/geraniumstep/pkg/advice"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/pace"
	"geraniumstep.org/geraniumstep/pkg/place"
)

const (
	// paceNewsInterval is the least time between two messages with the paces that this node
	// has found.
	paceNewsInterval = 250 * time.Millisecond
	// givenUpRatio is how many times the usual time an attempt must have taken before giving
	// it up says something about its upstream.
	givenUpRatio = 2
	// lowPace is the pace below which the log says that an upstream gets few requests.
	lowPace = 0.5
)

// PaceMode is where upstreams that have started or recovered get their requests at a pace.
type PaceMode uint8

// The modes.
const (
	// PaceAuto is at the services whose upstreams say how long work takes, or that state what
	// cold ones handle.
	PaceAuto PaceMode = iota
	// PaceAlways is at all services, and PaceNever at none.
	PaceAlways
	PaceNever
)

// ParsePaceMode returns the mode of a name: auto, always or never.
func ParsePaceMode(name string) (PaceMode, bool) {
	i := slices.Index([]string{"auto", "always", "never"}, name)
	return PaceMode(max(i, 0)), i >= 0
}

// WithPace sets where upstreams get requests at a pace. The default is PaceAuto.
func WithPace(m PaceMode) Option { return func(e *Engine) { e.pace.mode = m } }

// WithPaceNews sets the function that sends the paces that this node has found to the other
// nodes. By default they are not told.
func WithPaceNews(share func(data []byte)) Option { return func(e *Engine) { e.pace.share = share } }

// paceRule is where paces are in force, and the news of them.
type paceRule struct {
	mode PaceMode
	// telling holds the services whose upstreams say how long work takes.
	telling sync.Map
	share   func(data []byte)

	mu sync.Mutex
	// pending holds the news to be sent, and sending whether a task sends them.
	pending map[pace.Key]pace.News
	sending bool
}

// paced reports whether the upstreams of a service get requests at a pace.
func (e *Engine) paced(service string) bool {
	switch e.pace.mode {
	case PaceAlways:
		return true
	case PaceNever:
		return false
	case PaceAuto:
	}
	if _, ok := e.pace.telling.Load(service); ok {
		return true
	}
	routes := e.routes.Load()
	return routes != nil && routes.Cold(service).PerSecond > 0
}

// newPace returns the pace of an upstream that this node did not know. It is low unless this
// node has just started, so that it does not know any.
func (e *Engine) newPace(entry fleet.Entry) *pace.Pace {
	if len(e.upstreams.Load().byID) == 0 && !time.Now().Before(entry.ColdUntil()) {
		return pace.New()
	}
	return pace.New(pace.WithLow())
}

// recoversAt makes the upstream's pace low until it answers after the time.
func (u *upstream) recoversAt(t time.Time) { u.pace.Restart(t) }

// recoversAfterRest does so for one that asks for rest.
func (u *upstream) recoversAfterRest(a advice.Advice) {
	if a.Rest > 0 {
		u.recoversAt(time.Now().Add(min(a.Rest, advice.MaxRest)))
	}
}

// selectByPace chooses which upstreams of a service take part in the placement of a request. It
// returns false if all do. usable returns after which delay one may be sent the request.
func (r *run) selectByPace(p *serviceUpstreams, extra bool, now time.Time, usable func(i int) (time.Duration, bool)) (pace.Selection, bool) {
	if !slices.ContainsFunc(p.upstreams, func(u *upstream) bool { return u.pace.Recovering() }) || !r.engine.paced(p.upstreams[0].entry.Service()) {
		return pace.Selection{}, false
	}
	nearest := place.OtherRegion
	list := make([]pace.Candidate, len(p.upstreams))
	for i, u := range p.upstreams {
		// A cold upstream gets what its bound leaves, and is no alternative to others.
		if r.engine.isColdBound(u, now) {
			continue
		}
		if _, ok := usable(i); !ok {
			continue
		}
		v := u.pace.Value(now)
		list[i] = pace.Candidate{
			Usable: true, Pace: v, Unseen: u.pace.Unseen(), Fallen: u.pace.Fallen(), InRegion: u.stats.Distance() != place.OtherRegion,
			Busy: u.quota.Limited() || float64(u.stats.InFlight()) >= max(v*float64(u.slots.Load()), 1),
		}
		nearest = min(nearest, u.stats.Distance())
	}
	for i, u := range p.upstreams {
		list[i].Nearest = u.stats.Distance() == nearest
	}
	s := pace.Select(list, extra, rand.Float64)
	if s.Trial < 0 && slices.Contains(s.Held, true) {
		r.engine.metrics.paceHeld.Inc()
	}
	return s, true
}

// atFullPace returns the upstreams of a service without those that are held back: one that is idle
// for that would seem to answer at once.
func (e *Engine) atFullPace(s *serviceUpstreams, now time.Time) *serviceUpstreams {
	if !slices.ContainsFunc(s.upstreams, func(u *upstream) bool { return u.pace.Recovering() }) || !e.paced(s.upstreams[0].entry.Service()) {
		return s
	}
	best := 0.0
	for _, u := range s.upstreams {
		if u.isLive(now) && u.stats.Distance() != place.OtherRegion {
			best = max(best, u.pace.Value(now))
		}
	}
	full := s.filter(func(u *upstream) bool {
		return u.stats.Distance() == place.OtherRegion || u.pace.Value(now) >= pace.EqualRatio*best
	})
	if full.count(now, (*upstream).accepts) == 0 {
		return s
	}
	return full
}

// recordPace records how an attempt at an upstream ended.
func (e *Engine) recordPace(u *upstream, d attemptDone) {
	service := u.entry.Service()
	told := 0.0
	if d.res != nil && !d.res.Reply().Moved {
		if told = d.res.Reply().Pace; told > 0 {
			e.pace.telling.LoadOrStore(service, true)
		}
	}
	if !e.paced(service) {
		return
	}
	now := time.Now()
	var c pace.Change
	switch {
	case d.ok:
		c = u.pace.Answered(u.workOf(d), told, e.usualOf(u), now)
	case d.cause == "given_up":
		usual := e.usualOf(u)
		work := u.workOf(d)
		if usual.Work == 0 || work < givenUpRatio*usual.Work {
			return
		}
		c = u.pace.Answered(work, 0, usual, now)
	case d.cause == "shed" || d.cause == "failure":
		c = u.pace.Failed(now)
	case (d.cause == "dial" || d.cause == "broken" || d.cause == "not_written") && !e.links.IsCut():
		c = u.pace.Failed(now)
	default:
		return
	}
	if c.Recovers {
		u.stats.Forget()
	}
	v := u.pace.Value(now)
	e.logPace(u, v)
	if c.News {
		e.sharePace(pace.News{Key: u.paceKey, Value: v, Rose: c.Rose})
	}
}

// workOf returns how long the upstream worked on an attempt, as far as the network and the queue
// there are known.
func (u *upstream) workOf(d attemptDone) time.Duration {
	work := max(d.took-u.stats.Distance().RoundTrip(), 0)
	if d.res == nil || !d.res.Reply().HasLoad {
		return work
	}
	load := float64(d.res.Reply().Running+d.res.Reply().Waiting) / float64(max(u.entry.Slots(), 1))
	return time.Duration(float64(work) / max(load, 1))
}

// usualOf returns what the other upstreams of the service are like: those in this node's region
// if there are any.
func (e *Engine) usualOf(u *upstream) pace.Usual {
	s, ok := e.upstreams.Load().byService[u.entry.Service()]
	if !ok {
		return pace.Usual{}
	}
	var inRegion, others []*pace.Pace
	for _, o := range s.upstreams {
		if o == u {
			continue
		}
		others = append(others, o.pace)
		if o.stats.Distance() != place.OtherRegion {
			inRegion = append(inRegion, o.pace)
		}
	}
	if usual := pace.UsualOf(inRegion); usual.Work > 0 {
		return usual
	}
	return pace.UsualOf(others)
}

// sharePace sends a pace that this node has found to the other nodes, at once or with others.
func (e *Engine) sharePace(n pace.News) {
	e.pace.mu.Lock()
	defer e.pace.mu.Unlock()
	if e.pace.pending == nil {
		e.pace.pending = make(map[pace.Key]pace.News)
	}
	e.pace.pending[n.Key] = n
	if !e.pace.sending {
		e.pace.sending = true
		e.tasks.Go(e.sendPaces)
	}
}

// sendPaces sends the pending news until there are none. What one message does not hold is lost;
// other nodes find it out by themselves.
func (e *Engine) sendPaces() {
	for {
		e.pace.mu.Lock()
		var list []pace.News
		for _, n := range e.pace.pending {
			list = append(list, n)
		}
		clear(e.pace.pending)
		e.pace.sending = len(list) > 0
		e.pace.mu.Unlock()
		if len(list) == 0 {
			return
		}
		e.pace.share(pace.Encode(list))
		tasks.Sleep(e.baseCtx, paceNewsInterval)
	}
}

// LearnPace records the paces that another node has found, and reports whether it concerns
// upstreams that this node knows.
func (e *Engine) LearnPace(data []byte) bool {
	d, now, known := e.upstreams.Load(), time.Now(), false
	for _, n := range pace.Decode(data) {
		u, ok := d.byPaceKey[n.Key]
		if !ok || e.pace.mode == PaceNever {
			continue
		}
		known = true
		if e.pace.mode == PaceAuto {
			e.pace.telling.LoadOrStore(u.entry.Service(), true)
		}
		u.pace.Learn(n.Value, n.Rose, now)
		e.logPace(u, u.pace.Value(now))
	}
	return known
}

// logPace logs that an upstream gets few requests, and that it gets all again.
func (e *Engine) logPace(u *upstream, v float64) {
	fields := logrus.Fields{"upstream": u.entry.ID(), "service": u.entry.Service(), "pace": v}
	switch {
	case v < lowPace && !u.paceLow.Swap(true):
		e.log.WithFields(fields).Info("relay: upstream gets few requests until it answers as fast as others.")
	case v >= 1 && u.paceLow.Load() && u.paceLow.Swap(false):
		e.log.WithFields(fields).Info("relay: upstream gets its full share of requests again.")
	}
}

// isBelowPace reports whether the upstream gets less than its share of the requests.
func (e *Engine) isBelowPace(u *upstream, now time.Time) bool {
	return u.pace.Recovering() && e.paced(u.entry.Service()) && u.pace.Value(now) < 1
}
