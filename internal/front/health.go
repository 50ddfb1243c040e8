package front

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptrace"
	"syscall"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/life"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

// canceledRetention is how long after its cancellation a request remains a crash
// suspect. It is longer than the time from one health check to the next, so that
// the next check still finds the request.
const canceledRetention = 2 * healthInterval

// healthDrainDivisor limits the drains accepted from health endpoints alone to one
// in so many of the upstreams of a front, but at least one upstream.
const healthDrainDivisor = 5

// checkHealth requests the health of the upstream and updates its state. The
// response may be stale or wrong: a timeout or an error response never marks an
// upstream as down, only a refused or reset connection does. A new incarnation ends
// a drain or an outage. A reply without a drain also ends an outage. A drain based on
// the health endpoint alone ends when the endpoint no longer reports it or such drains
// are no longer credible.
func (d *dispatcher) checkHealth(ctx context.Context) error {
	sent := time.Now()
	h, err := d.fetchHealth(ctx)
	if err != nil && d.life.State() == life.UpstreamServing && d.showsEnd(ctx, err, sent) {
		d.recordCrash(d.incarnation(), d.crashSuspects())
	}
	if err != nil || d.observeIncarnation(h.Started) {
		return nil
	}
	d.reportsDrain.Store(h.State == wire.StateDraining)
	switch accepted := d.reportsDrain.Load() && d.front.healthDrainsCredible(); {
	case accepted && d.life.State() == life.UpstreamServing:
		d.drainFromHealth.Store(true)
		d.markDraining()
	case !accepted && d.drainFromHealth.Load():
		d.endHealthDrain()
	case !d.reportsDrain.Load() && d.life.State() == life.UpstreamDown:
		d.applySign(life.SignUp)
	}
	return nil
}

// endHealthDrain reverts a drain that was based on the health endpoint alone.
func (d *dispatcher) endHealthDrain() {
	d.drainFromHealth.Store(false)
	d.front.drains.Delete(d.upstream.ID())
	d.applySign(life.SignUp)
}

func (d *dispatcher) fetchHealth(ctx context.Context) (wire.Health, error) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()
	return d.getHealth(ctx, d.client)
}

func (d *dispatcher) getHealth(ctx context.Context, client *http.Client) (wire.Health, error) {
	var h wire.Health
	var o outgoing
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: o.gotConn, Got1xxResponse: checkInterim})
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, d.url(wire.PathHealth), nil)
	if err != nil {
		return h, err
	}
	res, err := send(client, req)
	if err != nil {
		return h, err
	}
	defer res.Body.Close()
	d.heard(time.Unix(0, o.openedAt.Load()))
	data, err := readAll(res.Body)
	if err != nil {
		return h, err
	}
	return h, json.Unmarshal(data, &h)
}

// healthDrainsCredible reports whether drains that only health endpoints report are
// accepted. They are not while many upstreams of this front report one, because
// that indicates a fault of the endpoints.
func (f *Front) healthDrainsCredible() bool {
	total, draining := 0, 0
	f.dispatchers.Range(func(_, v any) bool {
		total++
		if v.(*dispatcher).reportsDrain.Load() {
			draining++
		}
		return true
	})
	return draining <= max(total/healthDrainDivisor, 1)
}

// observeIncarnation records the incarnation given in a reply and reports whether
// it is a new one. A new incarnation is serving, whatever the state of the old one
// was.
func (d *dispatcher) observeIncarnation(started int64) bool {
	if started == 0 {
		return false
	}
	d.mu.Lock()
	old := d.started
	if started > old {
		d.started = started
	}
	d.mu.Unlock()
	if old == 0 || started <= old {
		return false
	}
	d.front.drains.Delete(d.upstream.ID())
	d.applySign(life.SignUp)
	return true
}

// markDraining closes the gate and notifies the other nodes.
func (d *dispatcher) markDraining() {
	if d.life.State() != life.UpstreamServing {
		return
	}
	started := d.incarnation()
	d.front.drains.Store(d.upstream.ID(), started)
	d.applySign(life.SignDrain)
	d.front.notify(peer.Notices{Drains: []peer.Drain{{Upstream: d.upstream.ID(), Started: started}}})
}

// applyDrain applies a drain reported by another node, unless the upstream has
// restarted since.
func (d *dispatcher) applyDrain(started int64) {
	if d.incarnation() > started && started != 0 {
		d.front.drains.Delete(d.upstream.ID())
		return
	}
	d.applySign(life.SignDrain)
}

func (d *dispatcher) incarnation() int64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.started
}

// crashSuspects returns the requests that may have crashed the upstream: those in
// flight and those cancelled within canceledRetention. If a crash of the current
// incarnation is already recorded, it returns the suspects of that crash.
func (d *dispatcher) crashSuspects() []poison.Run {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crash.started == d.started && d.crash.suspects != nil {
		return d.crash.suspects
	}
	var list []poison.Run
	for _, run := range d.running {
		list = append(list, run)
	}
	for f, c := range d.canceled {
		if time.Since(c.at) > canceledRetention {
			delete(d.canceled, f)
			continue
		}
		list = append(list, c.run)
	}
	return list
}

// crashed requests the health of the upstream after a connection to it has broken,
// and reports whether it has crashed: the connection is refused or reset, or the
// incarnation is a new one. It records the crash with its suspects. sent is when the call
// that broke began.
func (d *dispatcher) crashed(suspects []poison.Run, sent time.Time) bool {
	before := d.incarnation()
	ctx, cancel := context.WithTimeout(context.Background(), healthTimeout)
	defer cancel()
	h, err := d.fetchHealth(ctx)
	switch {
	case err == nil && before == 0:
		d.observeIncarnation(h.Started)
		return false
	case err == nil && h.Started <= before:
		return false
	case err != nil && !d.showsEnd(ctx, err, sent):
		return false
	}
	d.recordCrash(before, suspects)
	if err == nil {
		d.observeIncarnation(h.Started)
	}
	return true
}

// recordCrash records a crash with its suspects, closes the gate and notifies the
// other nodes.
func (d *dispatcher) recordCrash(started int64, suspects []poison.Run) {
	d.mu.Lock()
	d.crash = crash{started: started, suspects: suspects}
	d.mu.Unlock()
	reports := d.front.tracker.RecordCrash(d.crashID(started), time.Now(), suspects)
	d.applySign(life.SignCrash)
	if len(reports) > 0 {
		d.front.notify(peer.Notices{Reports: reports})
	}
}

// refusedOrReset reports whether the error shows that the upstream process no
// longer listens.
func refusedOrReset(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.ECONNRESET)
}
