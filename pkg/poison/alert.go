package poison

import (
	"sync/atomic"
	"time"
)

const (
	// alertTime is how long after a crash its suspects keep the alert, unless they
	// complete. Requests that crash upstreams come in series, seconds apart.
	alertTime = 10 * time.Second
	// maxAlerts bounds the suspects that keep the alert.
	maxAlerts = 128
)

// alert is raised while there are requests to many upstreams under which upstreams have
// crashed of late and that have not completed since. After a crash that no request caused,
// its suspects complete elsewhere soon, and the alert ends with the last of them.
type alert struct {
	// suspects maps a fingerprint to the time of its last crash. Tracker.mu guards it.
	suspects map[Fingerprint]time.Time
	// until is when the alert ends unless it is raised again, in nanoseconds since 1970.
	until atomic.Int64
}

// raise adds a suspect of a crash at the given time.
func (a *alert) raise(f Fingerprint, at time.Time) {
	if a.suspects == nil {
		a.suspects = make(map[Fingerprint]time.Time)
	}
	if known, ok := a.suspects[f]; ok && !at.After(known) {
		return
	}
	if _, ok := a.suspects[f]; !ok && len(a.suspects) >= maxAlerts {
		a.dropOldest()
	}
	a.suspects[f] = at
	a.update()
}

// clear removes a suspect that has completed.
func (a *alert) clear(f Fingerprint) {
	if _, ok := a.suspects[f]; ok {
		delete(a.suspects, f)
		a.update()
	}
}

func (a *alert) dropOldest() {
	var oldest Fingerprint
	var at time.Time
	for f, t := range a.suspects {
		if at.IsZero() || t.Before(at) {
			oldest, at = f, t
		}
	}
	delete(a.suspects, oldest)
}

func (a *alert) update() {
	var last time.Time
	for _, t := range a.suspects {
		if t.After(last) {
			last = t
		}
	}
	if last.IsZero() {
		a.until.Store(0)
		return
	}
	a.until.Store(last.Add(alertTime).UnixNano())
}

// Alerted reports whether requests that were sent to many upstreams have crashed some of
// them of late, or may have.
func (t *Tracker) Alerted() bool {
	until := t.alert.until.Load()
	return until != 0 && time.Now().UnixNano() < until
}

// endExplainedAlert removes the suspects with a content that is quarantined. Their crashes
// are explained, and say nothing about other searches. It must be called with mu held.
func (t *Tracker) endExplainedAlert(content Fingerprint) {
	if t.Verdict(content) != Quarantined {
		return
	}
	r, _ := t.recordOf(content)
	for _, tr := range r.trials {
		t.alert.clear(tr.caller)
	}
}

// updateAlert applies a report that was not known. It must be called with mu held.
func (t *Tracker) updateAlert(r Report, at time.Time) {
	switch r.Kind {
	case Crashed:
		if r.Caller != 0 {
			t.endExplainedAlert(r.Fingerprint)
		} else if r.Spread && !r.Canceled && !t.proven.Contains(r.Fingerprint) {
			t.alert.raise(r.Fingerprint, at)
		}
	case Cleared, Completed, Withdrawn:
		t.alert.clear(r.Fingerprint)
	case Doubted, Rejected:
	}
}
