package poison

import (
	"slices"
	"time"
)

// Kind is the kind of evidence in a Report.
type Kind uint8

// The kinds of reports.
const (
	Crashed  Kind = iota // crashed
	Cleared              // cleared
	Rejected             // rejected
	// Doubted reports a trial without a result: the upstream may have crashed.
	Doubted // doubted
	// Withdrawn reports that such a trial has a result other than a crash, and, if
	// Presumed is set, that an upstream whose crash was presumed has responded.
	Withdrawn // withdrawn
	// Completed reports that the request has completed before, so that no doubt or
	// presumption counts against it.
	Completed // completed
)

// Report is evidence about one fingerprint that nodes exchange: it was in flight in
// one crash, it completed while under suspicion, it was rejected, or the upstream that it
// was sent to may have crashed or has not. Times are given as ages, because the clocks of
// nodes differ.
type Report struct {
	Kind        Kind        `msgpack:"k"`
	Fingerprint Fingerprint `msgpack:"f"`
	// Crash identifies the crash by the upstream and the start time of its
	// process. Reports of other kinds leave it empty.
	Crash string `msgpack:"c"`
	// Age is how long ago it happened, and Ran how long before a crash the
	// request was sent.
	Age time.Duration `msgpack:"a"`
	Ran time.Duration `msgpack:"r"`
	// Separate reports that the crash is a trial of its own.
	Separate bool `msgpack:"s,omitempty"`
	// Canceled reports that the request was canceled before the crash.
	Canceled bool `msgpack:"x,omitempty"`
	// Presumed reports that the upstream was only found unreachable. A cut or a
	// pause look the same.
	Presumed bool `msgpack:"p,omitempty"`
	// Spread reports that the request was sent to other upstreams too.
	Spread bool `msgpack:"w,omitempty"`
	// Caller is the fingerprint of the caller's own request if Fingerprint is that of
	// its content, and 0 otherwise.
	Caller Fingerprint `msgpack:"b,omitempty"`
}

// contentPrefix distinguishes the suspects among the contents of a crash from those among
// the requests.
const contentPrefix = "*"

// about returns the reports about the run that the template describes: one for the request
// and, if it has a content, one for that.
func (r Report) about(run Run) []Report {
	r.Fingerprint = run.Fingerprint
	if run.Content == 0 {
		return []Report{r}
	}
	content := r
	content.Fingerprint, content.Caller, content.Crash = run.Content, run.Fingerprint, contentPrefix+r.Crash
	return []Report{r, content}
}

// Merge adds reports and returns those that were not known. Reports from other nodes
// must be merged when they are received, because they hold ages.
func (t *Tracker) Merge(reports []Report) []Report { return t.mergeAt(reports, time.Now()) }

// mergeAt adds reports whose ages count from now. The reports of a fingerprint count
// together: a rejection shows that crashes which are long past still count.
func (t *Tracker) mergeAt(reports []Report, now time.Time) []Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := make(map[Fingerprint]record)
	var added []Report
	for _, r := range reports {
		if r.Kind == Completed {
			t.addProven(r.Fingerprint, now.Add(-max(r.Age, 0)))
		} else if r.isDoubt() && t.proven.Contains(r.Fingerprint) {
			continue
		}
		old, ok := changed[r.Fingerprint]
		if !ok {
			old = t.current(r.Fingerprint, now)
		}
		if next, ok := old.with(r, now); ok {
			changed[r.Fingerprint] = next
			added = append(added, r)
		}
	}
	for f, r := range changed {
		if r.expired(now, t.retention) {
			delete(changed, f)
			t.records.Remove(f)
			continue
		}
		t.records.Add(f, r)
	}
	added = slices.DeleteFunc(added, func(r Report) bool {
		_, kept := changed[r.Fingerprint]
		return !kept && r.Kind != Completed
	})
	for _, r := range added {
		if r.Kind == Crashed && !r.Canceled {
			t.addSuspect(r.Crash, r.Fingerprint)
		}
		t.updateAlert(r, now.Add(-max(r.Age, 0)))
	}
	return added
}

// isDoubt reports whether the report shows less than a crash.
func (r Report) isDoubt() bool { return r.Kind == Doubted || r.Kind == Crashed && r.Presumed }

// addProven records a success that another node has seen.
func (t *Tracker) addProven(f Fingerprint, at time.Time) {
	if known, ok := t.proven.Peek(f); !ok || at.After(known) {
		t.proven.Add(f, at)
	}
}

// Contradict returns the reports with which this node contradicts those of another node:
// requests that are doubted there and have completed here.
func (t *Tracker) Contradict(reports []Report) []Report {
	var list []Report
	for _, r := range reports {
		if at, proven := t.proven.Peek(r.Fingerprint); proven && r.isDoubt() {
			list = append(list, Report{Kind: Completed, Fingerprint: r.Fingerprint, Age: time.Since(at)})
		}
	}
	return list
}

// current returns the record of a fingerprint without evidence that has expired.
func (t *Tracker) current(f Fingerprint, now time.Time) record {
	r, _ := t.records.Peek(f)
	if r.expired(now, t.retention) {
		r = record{clearedAt: r.clearedAt}
	}
	return r
}

// with returns the record with the report added, or false if it adds nothing.
func (r record) with(report Report, now time.Time) (record, bool) {
	at := now.Add(-max(report.Age, 0))
	t := trial{
		crash: report.Crash, sent: at.Add(-max(report.Ran, 0)), ended: at,
		canceled: report.Canceled, separate: report.Separate, presumed: report.Presumed, spread: report.Spread, caller: report.Caller,
	}
	switch report.Kind {
	case Crashed:
		return r.crashed(t)
	case Doubted:
		return r.doubt(t)
	case Withdrawn:
		return r.withdraw(t)
	case Cleared:
		return r.cleared(at)
	case Rejected:
		return r.rejected(at)
	case Completed:
		return r.completed()
	}
	return r, false
}

// addSuspect must be called with mu held.
func (t *Tracker) addSuspect(crash string, f Fingerprint) {
	s, _ := t.crashes.Peek(crash)
	if len(s.list) < maxSuspects && !slices.Contains(s.list, f) {
		s.list = append(slices.Clone(s.list), f)
	}
	t.crashes.Add(crash, s)
}

// Reports returns the evidence that has not expired, the newest records first, for
// nodes that lack it.
func (t *Tracker) Reports() []Report {
	keys := t.records.Keys() // the least recently changed first
	var all []Report
	for i := len(keys) - 1; i >= 0; i-- {
		all = append(all, t.ReportsOf(keys[i])...)
	}
	return all
}

// ReportsOf returns the evidence about one fingerprint that has not expired.
func (t *Tracker) ReportsOf(f Fingerprint) []Report {
	now := time.Now()
	r, ok := t.records.Peek(f)
	if !ok || r.expired(now, t.retention) {
		return nil
	}
	var list []Report
	if !r.clearedAt.IsZero() {
		list = append(list, Report{Kind: Cleared, Fingerprint: f, Age: now.Sub(r.clearedAt)})
	}
	for _, tr := range r.trials {
		list = append(list, Report{Kind: Crashed, Fingerprint: f, Crash: tr.crash, Age: now.Sub(tr.ended), Ran: tr.ended.Sub(tr.sent), Canceled: tr.canceled, Separate: tr.separate, Presumed: tr.presumed, Spread: tr.spread, Caller: tr.caller})
		if tr.withdrawn {
			list = append(list, Report{Kind: Withdrawn, Fingerprint: f, Crash: tr.crash, Presumed: true})
		}
	}
	if !r.rejectedAt.IsZero() {
		list = append(list, Report{Kind: Rejected, Fingerprint: f, Age: now.Sub(r.rejectedAt)})
	}
	return list
}
