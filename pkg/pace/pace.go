// Package pace decides how much of its share an upstream gets that has just started or
// recovered. Nobody states how long that takes: the pace rises while the upstream answers as
// fast as the others of its service, and falls when it does not.
//
//	p := pace.New(pace.WithLow())
//	p.Answered(took, told, usual, time.Now())    // rises, or falls to what it is good for
//	p.Failed(time.Now())
//	s := pace.Select(candidates, rand.Float64)   // which of them to use now
package pace

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// Floor is the lowest pace: an upstream without requests could not show that it is fast
	// again.
	Floor = 0.05
	// startPace is the pace after a start or recovery.
	startPace = 0.15
	// riseFactor and minRise are by how much a good answer raises the pace: to 1 it takes four
	// from startPace and five from Floor.
	riseFactor = 1.6
	minRise    = 0.1
	// fallFactor is by how much a slow answer lowers it at most, and failFactor a failure.
	fallFactor = 0.7
	failFactor = 0.55
	// rampTime is the time from the first answer in which the pace can reach 1, however many
	// answers there are. Queues that a flood causes show within it.
	rampTime = time.Second
	// slowRatio is how many times the usual time an answer may take at full pace. Beyond it the
	// pace falls with the square of the ratio.
	slowRatio = 1.5
	// workWeight is the least weight of a new answer in the moving average of an upstream's
	// work, and workHalfLife the time in which older ones lose half of theirs. An answer counts as
	// at most outlierRatio times the average, so that a single slow one says little.
	workWeight   = 0.3
	outlierRatio = 4
	workHalfLife = 300 * time.Millisecond
	// failureWeight is the weight of an outcome in the failure rate, and fewFailures the rate up
	// to which failures are ordinary.
	failureWeight = 0.2
	fewFailures   = 0.15
	// failureMemory is how long this node's failures go before what others found.
	failureMemory = 2 * time.Second
	// fallenPace is the pace below which an upstream counts as slow or failing, until an answer
	// shows that it is good for more.
	fallenPace = 0.5
	// ownAnswers is how many answers a node needs to place an upstream by its cost.
	ownAnswers = 3
	// ownEvidenceTime is how long this node's own evidence goes before what others found.
	ownEvidenceTime = 250 * time.Millisecond
	// levels is the number of steps of a pace that are told to other nodes.
	levels = 8
)

// Pace is the pace of one incarnation of an upstream: the share of the requests it gets that it
// would get if it were as good as the others. It is safe for concurrent use.
type Pace struct {
	// recovering is set while the pace is below 1, or the upstream unseen.
	recovering atomic.Bool

	mu    sync.Mutex
	value float64
	// notBefore is when the upstream may begin to show what it is good for, and began when
	// it first answered since, or zero.
	notBefore, began time.Time
	// work is the average time of an answer since began, and told how many times as long as
	// usual work takes by what the upstream says, or 0.
	work time.Duration
	told float64
	// failures is the rate of failures, and answers how many answers this node has since began.
	failures float64
	answers  int
	// fallen is set when the pace has been below fallenPace, until an answer is good.
	fallen bool
	// from is the pace from which the ramp began.
	from float64
	// ownAt is when this node last heard of the upstream itself.
	ownAt time.Time
	// toldLevel is the last level that a node has told the others.
	toldLevel int
}

// Option configures a Pace at construction.
type Option func(*Pace)

// WithLow makes the pace low at first, as after a start. The default is full.
func WithLow() Option { return func(p *Pace) { p.restart(time.Time{}) } }

// New returns the pace of an incarnation.
func New(opts ...Option) *Pace {
	p := &Pace{value: 1, toldLevel: levels, answers: ownAnswers, began: time.Unix(1, 0), from: 1}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Restart makes the pace low, because the upstream recovers at a time: it has been down, cold or
// evacuated. What it answers before does not count.
func (p *Pace) Restart(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.notBefore.Before(at) {
		p.restart(at)
	}
}

func (p *Pace) restart(at time.Time) {
	p.value, p.from, p.notBefore, p.began = startPace, startPace, at, time.Time{}
	p.work, p.told, p.toldLevel, p.answers, p.failures, p.fallen = 0, 0, 0, 0, 0, false
	p.recovering.Store(true)
}

// Recovering reports whether the pace is below 1, or the upstream unseen.
func (p *Pace) Recovering() bool { return p.recovering.Load() }

// Value returns the pace, from Floor to 1.
func (p *Pace) Value(now time.Time) float64 {
	if !p.recovering.Load() {
		return 1
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.current(now)
}

// current returns the pace, which is at most what the ramp allows.
func (p *Pace) current(now time.Time) float64 {
	if p.began.IsZero() {
		return min(p.value, startPace)
	}
	ramp := p.from + (1-p.from)*float64(now.Sub(p.began))/float64(rampTime)
	if p.value >= 1 && ramp >= 1 && !p.isUnseen() && !p.fallen {
		p.recovering.Store(false)
	}
	return max(min(p.value, ramp, 1), Floor)
}

// Work returns the average time of the upstream's answers, or 0 before the first one.
func (p *Pace) Work() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.work
}

// Told returns how many times as long as usual work takes by what the upstream last said, or 0.
func (p *Pace) Told() float64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.told
}

// Usual is what the other upstreams of a service are like. The zero value is that of a service
// whose others have not answered.
type Usual struct {
	// Work is the median time of their answers, and Told the median of what they say.
	Work time.Duration
	Told float64
}

// UsualOf returns what the other upstreams are like.
func UsualOf(others []*Pace) Usual {
	work, told := make([]time.Duration, 0, len(others)), make([]float64, 0, len(others))
	for _, p := range others {
		p.mu.Lock()
		if p.work > 0 {
			work = append(work, p.work)
		}
		if p.told > 0 {
			told = append(told, p.told)
		}
		p.mu.Unlock()
	}
	return Usual{Work: median(work), Told: median(told)}
}

// median returns the lower median, or 0 of nothing.
func median[T time.Duration | float64](list []T) T {
	if len(list) == 0 {
		return 0
	}
	slices.Sort(list)
	return list[(len(list)-1)/2]
}

// Unseen reports whether this node has too few answers since the last start or recovery to place
// the upstream by its cost.
func (p *Pace) Unseen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.isUnseen()
}

func (p *Pace) isUnseen() bool { return p.answers < ownAnswers }

// Fallen reports whether the upstream is slow or fails, by what this node has seen.
func (p *Pace) Fallen() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fallen
}

// Change is what follows from what this node has seen of an upstream.
type Change struct {
	// News reports that the other nodes should be told of the pace, and Rose whether it rose.
	News, Rose bool
	// Recovers reports that the upstream answers well again, so that what is known of it from
	// before no longer counts.
	Recovers bool
}

// Answered records an answer: how long the work took, without network and queue as far as they
// are known, and how many times as long as usual work takes by what the upstream says, or 0.
func (p *Pace) Answered(work time.Duration, told float64, usual Usual, now time.Time) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.notBefore) {
		return Change{}
	}
	before := p.current(now)
	if p.began.IsZero() {
		p.began, p.work = now, 0
	}
	if p.work == 0 || p.fallen {
		p.work = max(work, 1)
	} else {
		weight := max(workWeight, 1-math.Exp2(-float64(now.Sub(p.ownAt))/float64(workHalfLife)))
		p.work += time.Duration(weight * float64(min(work, outlierRatio*p.work)-p.work))
	}
	p.ownAt = now
	p.failures *= 1 - failureWeight
	if told > 0 {
		p.told = told
	}
	goal := p.goal(usual)
	if goal > p.value {
		p.value = min(goal, max(p.value*riseFactor, p.value+minRise))
	} else {
		p.value = max(goal, p.value*fallFactor)
	}
	recovers := p.fallen && goal > fallenPace
	if recovers {
		p.fallen, p.answers = false, 0
		p.ramp(now)
	}
	p.answers++
	p.sink()
	c := p.changed(before, now)
	c.Recovers = recovers
	return c
}

// ramp begins a ramp from the present pace.
func (p *Pace) ramp(now time.Time) { p.from, p.began = max(min(p.value, 1), startPace), now }

// sink notes what follows from a low pace.
func (p *Pace) sink() {
	p.fallen = p.fallen || p.value < fallenPace && !p.isUnseen()
	if p.value < 1 || p.isUnseen() || p.fallen {
		p.recovering.Store(true)
	}
}

// goal returns the pace that the upstream is good for.
func (p *Pace) goal(usual Usual) float64 {
	ratio := 1.0
	if usual.Work > 0 {
		ratio = float64(p.work) / float64(usual.Work)
	}
	if p.told > 0 {
		ratio = max(ratio, p.told/max(usual.Told, 1))
	}
	excess := max(ratio/slowRatio, 1)
	goal := 1 / (excess * excess)
	if p.failures > fewFailures {
		goal = min(goal, 1-2*p.failures)
	}
	return max(goal, Floor)
}

// Failed records a failure or refusal.
func (p *Pace) Failed(now time.Time) Change {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.notBefore) {
		return Change{}
	}
	before := p.current(now)
	p.ownAt = now
	p.failures += failureWeight * (1 - p.failures)
	p.value = max(before*failFactor, Floor)
	p.sink()
	return p.changed(before, now)
}

// changed reports whether the pace has reached another level than the nodes last told each other.
func (p *Pace) changed(before float64, now time.Time) Change {
	v := p.current(now)
	level := int(v*levels + levelTolerance)
	if level == p.toldLevel {
		return Change{}
	}
	p.toldLevel = level
	return Change{News: true, Rose: v > before}
}

// levelTolerance absorbs rounding errors.
const levelTolerance = 1e-6

// Learn records the pace that another node has found. One that it found to rise raises this
// node's, and one that it found to fall lowers it, unless this node has own recent evidence.
func (p *Pace) Learn(value float64, rose bool, now time.Time) {
	if !(value >= 0) || math.IsInf(value, 1) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Before(p.notBefore) {
		return
	}
	if p.began.IsZero() {
		p.began = now
	}
	value = max(min(value, 1), Floor)
	switch {
	case rose && (p.failures <= fewFailures || now.Sub(p.ownAt) >= failureMemory):
		if p.value <= Floor {
			p.ramp(now)
		}
		p.value = max(p.value, value)
	case !rose && now.Sub(p.ownAt) >= ownEvidenceTime:
		p.value = min(p.value, value)
	}
	p.sink()
	p.toldLevel = int(p.current(now)*levels + levelTolerance)
}
