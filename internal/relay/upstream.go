package relay

import (
	"strconv"
	"sync/atomic"
	"time"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/pkg/advice"
	"geraniumstep.org/geraniumstep/pkg/fleet"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/pace"
	"geraniumstep.org/geraniumstep/pkg/place"
	"geraniumstep.org/geraniumstep/pkg/quota"
)

// upstream is one incarnation of an upstream, with this node's connections to it,
// the queue for its slots and its statistics.
type upstream struct {
	entry fleet.Entry
	stats *place.Stats
	gate  *gate.Shared
	slots atomic.Int64
	// fair is whether the gate divides its slots by max-min fairness.
	fair  atomic.Bool
	pool  *link.Pool
	crash *crashCheck
	down  downState
	quota *quota.Upstream
	// intake ends the waits of attempts when the upstream takes no new requests.
	intake *intake
	// pace is the upstream's share of the requests while it recovers, paceKey what identifies
	// it to other nodes, and paceLow whether the log says that it gets few requests.
	pace    *pace.Pace
	paceKey pace.Key
	paceLow atomic.Bool
	// evacuated is whether the upstream's domain is evacuated. The engine's mutex guards it.
	evacuated bool
	// seenAt is when this node first knew the incarnation.
	seenAt time.Time
	// advice is what the upstream says of itself.
	advice advice.State
	// waiting holds the attempts that are hedged if the upstream pauses.
	waiting waiters
}

// incarnation identifies the upstream's process.
func (u *upstream) incarnation() string {
	return u.entry.ID() + "/" + strconv.FormatInt(u.entry.Started(), 10)
}

// matches reports whether the entry describes this incarnation at this address.
func (u *upstream) matches(e fleet.Entry) bool {
	old := u.entry
	return old.ID() == e.ID() && old.Started() == e.Started() && old.Addr() == e.Addr() && old.Service() == e.Service()
}
