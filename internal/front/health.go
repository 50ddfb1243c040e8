package front

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"syscall"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/life"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

// canceledMemory is how long a crash is held against a request whose call was
// cancelled: a little longer than from one look at the health to the next.
const canceledMemory = 2 * healthEvery

// believedShare is the part of a front's upstreams, as one in so many, of which
// the health endpoints are believed when they report a drain.
const believedShare = 5

// checkHealth asks the upstream for its health. The endpoint may lag or lie:
// its silence or failure alone never takes an upstream out, and a new
// incarnation is what ends a drain or an outage.
func (l *line) checkHealth(ctx context.Context) error {
	h, err := l.askHealth(ctx)
	if err != nil && goneAway(err) && l.life.State() == life.UpstreamServing {
		l.convict(l.incarnation(), l.inFlightNow())
	}
	if err != nil || l.saw(h.Started) {
		return nil
	}
	l.claims.Store(h.State == wire.StateDraining)
	switch believed := l.claims.Load() && l.front.claimsBelieved(); {
	case believed && l.life.State() == life.UpstreamServing:
		l.byHealth.Store(true)
		l.drainSign()
	case !believed && l.byHealth.Load():
		l.undrain()
	case !l.claims.Load() && l.life.State() == life.UpstreamDown:
		l.fire(life.SignUp)
	}
	return nil
}

// undrain takes back a drain that rested on the health endpoint alone.
func (l *line) undrain() {
	l.byHealth.Store(false)
	l.front.drains.Delete(l.upstream.ID())
	l.fire(life.SignUp)
}

func (l *line) askHealth(ctx context.Context) (wire.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	var h wire.Health
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url(wire.PathHealth), nil)
	if err != nil {
		return h, err
	}
	res, err := l.client.Do(req)
	if err != nil {
		return h, err
	}
	defer res.Body.Close()
	data, err := readAll(res.Body)
	if err != nil {
		return h, err
	}
	return h, json.Unmarshal(data, &h)
}

// claimsBelieved tells whether a drain that only the health endpoint reports is
// to be believed: not while many of this front's upstreams say the same, which
// is rather a fault of the endpoints.
func (f *Front) claimsBelieved() bool {
	lines, claims := 0, 0
	f.lines.Range(func(_, v any) bool {
		lines++
		if v.(*line).claims.Load() {
			claims++
		}
		return true
	})
	return claims <= max(lines/believedShare, 1)
}

// saw records the incarnation that an answer names and tells whether it is a
// new one, which serves again whatever was known of the old.
func (l *line) saw(started int64) bool {
	if started == 0 {
		return false
	}
	l.mu.Lock()
	old := l.started
	if started > old {
		l.started = started
	}
	l.mu.Unlock()
	if old == 0 || started <= old {
		return false
	}
	l.front.drains.Delete(l.upstream.ID())
	l.fire(life.SignUp)
	return true
}

// drainSign closes the gate and tells the other nodes.
func (l *line) drainSign() {
	if l.life.State() != life.UpstreamServing {
		return
	}
	started := l.incarnation()
	l.front.drains.Store(l.upstream.ID(), started)
	l.fire(life.SignDrain)
	l.front.notify(peer.Notices{Drains: []peer.Drain{{Upstream: l.upstream.ID(), Started: started}}})
}

// drainNotice applies a drain that another node reported, unless the upstream
// has come up again since.
func (l *line) drainNotice(started int64) {
	if l.incarnation() > started && started != 0 {
		l.front.drains.Delete(l.upstream.ID())
		return
	}
	l.fire(life.SignDrain)
}

func (l *line) incarnation() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.started
}

// inFlightNow lists the requests on the upstream.
func (l *line) inFlightNow() []poison.Fingerprint {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.crash.started == l.started && l.crash.suspect != nil {
		return l.crash.suspect
	}
	var list []poison.Fingerprint
	for _, f := range l.running {
		list = append(list, f)
	}
	for f, at := range l.canceled {
		if time.Since(at) > canceledMemory {
			delete(l.canceled, f)
			continue
		}
		list = append(list, f)
	}
	return list
}

// crashed asks whether the upstream has gone down after a connection to it
// broke, and if so holds the crash against the requests that were in flight.
func (l *line) crashed(suspects []poison.Fingerprint) bool {
	before := l.incarnation()
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	h, err := l.askHealth(ctx)
	switch {
	case err == nil && before == 0:
		l.saw(h.Started)
		return false
	case err == nil && h.Started <= before:
		return false
	case err != nil && !goneAway(err):
		return false
	}
	l.convict(before, suspects)
	if err == nil {
		l.saw(h.Started)
	}
	return true
}

// convict holds a crash against the requests in flight and closes the gate.
func (l *line) convict(started int64, suspects []poison.Fingerprint) {
	l.mu.Lock()
	l.crash = crash{started: started, suspect: suspects}
	l.mu.Unlock()
	reports := l.front.tracker.RecordCrash(l.crashID(started), suspects)
	l.fire(life.SignCrash)
	if len(reports) > 0 {
		l.front.notify(peer.Notices{Reports: reports})
	}
}

// goneAway tells whether the error shows that no process listens any more.
func goneAway(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
