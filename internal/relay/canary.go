package relay

import (
	"cmp"
	"slices"
	"time"

	"geraniumstep.org/geraniumstep/pkg/canary"
	"geraniumstep.org/geraniumstep/pkg/place"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

// planCanary decides which legs of a search are sent first. A leg that a peer gathers is
// no canary: the peer decides in this node's place, unless this node has a canary itself.
func (r *run) planCanary() {
	if !r.gather || r.led {
		return
	}
	if r.plan.Cautious {
		r.setCanaries(r.canaryLegs(time.Now(), true))
		return
	}
	verdict, alerted := r.classify(), r.engine.tracker.Alerted()
	r.engine.logAlert(alerted)
	if verdict != poison.Novel {
		return
	}
	now := time.Now()
	legs := r.canaryLegs(now, alerted || r.engine.canaryMode == canary.Always)
	if len(legs) == 0 {
		return
	}
	search := canary.Search{
		Verdict: verdict, Alerted: alerted, Left: r.plan.SoftDeadline.Sub(now), Expected: legs[0].expected, Lead: r.engine.lead,
	}
	switch d := canary.Decide(r.engine.canaryMode, search).(type) {
	case canary.Together:
	case canary.Lead:
		r.plan.Leader, r.plan.Lead = legs[0].leg, d.For
	case canary.Await:
		r.setCanaries(legs)
		if d.Second > 0 {
			r.plan.SecondCanary = now.Add(d.Second)
		}
		r.awaited = true
		r.engine.metrics.canaries.Inc()
	}
}

// logAlert logs when the alert is raised and when it has ended.
func (e *Engine) logAlert(alerted bool) {
	if e.alerted.Swap(alerted) == alerted {
		return
	}
	e.metrics.alerted.Set(0)
	if !alerted {
		e.log.Info("relay: upstreams crash no more under searches; none waits for a canary.")
		return
	}
	e.metrics.alerted.Set(1)
	e.log.Warn("relay: upstreams have crashed under searches; unproven searches wait for a canary.")
}

// setCanaries sets the legs that may be the canary.
func (r *run) setCanaries(legs []canaryLeg) {
	for _, l := range legs {
		r.plan.Canaries = append(r.plan.Canaries, l.leg)
	}
}

// canaryLeg is a leg that may be the canary.
type canaryLeg struct {
	leg int
	// spare reports whether the service keeps a live upstream if the canary's ends.
	spare    bool
	distance place.Distance
	expected time.Duration
}

// canaryLegs returns the legs that this node sends itself, the best canary first: one
// whose service has an upstream to spare, near this node and fast. Without ranking, it
// returns the first one with an upstream in the local failure domain.
func (r *run) canaryLegs(now time.Time, ranked bool) []canaryLeg {
	var legs []canaryLeg
	n := len(r.plan.Services)
	first := int(r.engine.tickets.Add(1) % uint64(max(n, 1)))
	for k := range n {
		i := (first + k) % n
		service := r.plan.Services[i]
		if r.pendingGroups[service] != nil {
			continue
		}
		if !ranked {
			if r.directory.isLocal(service) {
				return []canaryLeg{{leg: i}}
			}
			continue
		}
		if l, ok := r.directory.canaryLeg(service, now); ok {
			l.leg = i
			legs = append(legs, l)
		}
	}
	slices.SortStableFunc(legs, func(a, b canaryLeg) int {
		if a.spare != b.spare {
			if a.spare {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.distance, b.distance), cmp.Compare(a.expected, b.expected))
	})
	return legs
}

// canaryLeg rates the service as the target of a canary. It returns false if the service
// has no usable upstream.
func (d *directory) canaryLeg(service string, now time.Time) (canaryLeg, bool) {
	p, ok := d.byService[service]
	if !ok {
		return canaryLeg{}, false
	}
	l := canaryLeg{distance: place.OtherRegion, spare: p.shard(now).Live > 1}
	usable := 0
	for k, s := range p.stats {
		if !p.upstreams[k].isLive(now) {
			continue
		}
		usable++
		if expected := s.ExpectedLatency(now); usable == 1 || s.Distance() < l.distance || s.Distance() == l.distance && expected < l.expected {
			l.distance, l.expected = s.Distance(), expected
		}
	}
	return l, usable > 0
}
