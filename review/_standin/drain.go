package main

import (
	"fmt"
	"time"
)

const (
	// drainService is the service whose servers leave, one after the other.
	drainService = "kafi81c"
	// drainRate is the number of requests a second: four fifths of what three servers can run.
	drainRate = 45
	// drainCycles is how many servers leave, each after cycleLength.
	drainCycles = 5
	cycleLength = 20 * time.Second
	// slowFactor and slowLength are those of the site file: x = 12, for_s = 8.
	slowFactor = 12
	slowLength = 8 * time.Second
	// noticeAfter is the time from the begin of the slowness until the server reports that it drains.
	noticeAfter = time.Second
	// lingers is how long a server that drains goes on serving after drainBound.
	lingers = 6 * time.Second
)

// leaver is a server that has left, and when the store accepted that it drains.
type leaver struct {
	server  *server
	drained time.Time
	exited  time.Time
}

// playDrain has servers leave, as they are planned to, while they are slow.
func playDrain(r *record, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"nbo-a", "mba-a", "ksm-a"})
	if err != nil {
		return failed, err
	}
	defer d.stop()
	count := 0
	add := func(zone string) (*server, error) {
		count++
		s, err := newServer(fmt.Sprintf("i-%d", count), drainService, zone, 160*time.Millisecond, 2, 8, r)
		if err == nil {
			d.store.Put("servers", s.id, s.entry())
		}
		return s, err
	}
	servers := make([]*server, len(d.zones))
	for i, zone := range d.zones {
		if servers[i], err = add(zone); err != nil {
			return failed, err
		}
	}
	d.store.Put("config", "main", unsafeRoute(1, "/timi402/", drainService))
	if err := d.start(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(r, d.nodes, "/timi402/")
	done := make(chan struct{})
	var leavers []leaver
	go func() {
		defer close(done)
		for i := range drainCycles {
			start := time.Now()
			time.Sleep(4 * time.Second)
			k := i % len(servers)
			old := servers[k]
			if trouble {
				r.add("note %s turns slow", old.id)
				old.setSlow(slowFactor)
				time.AfterFunc(slowLength, func() { old.setSlow(1) })
			}
			time.Sleep(noticeAfter)
			if servers[k], err = add(d.zones[k]); err != nil {
				return
			}
			old.setState("draining")
			d.store.Put("servers", old.id, old.entry())
			l := leaver{server: old, drained: time.Now()}
			r.add("note the store has accepted that %s drains", old.id)
			time.Sleep(drainBound + lingers)
			old.exit()
			l.exited = time.Now()
			d.store.Delete("servers", old.id)
			r.add("note %s has left", old.id)
			leavers = append(leavers, l)
			time.Sleep(time.Until(start.Add(cycleLength)))
		}
	}()
	c.run(drainRate, drainCycles*cycleLength)
	<-done
	answers := c.await()
	for _, s := range servers {
		defer s.exit()
	}
	if err != nil {
		return failed, err
	}
	return judgeDrain(r, d, leavers, answers), nil
}

// judgeDrain counts the requests that reached a server later than drainBound after the store had
// accepted that it drains.
func judgeDrain(r *record, d *deployment, leavers []leaver, answers []answer) int {
	late := 0
	byID := make(map[string]answer)
	statuses := make(map[int]int)
	for _, a := range answers {
		byID[a.request] = a
		statuses[a.status]++
	}
	for _, l := range leavers {
		for _, a := range l.server.arrivalsAfter(l.drained.Add(drainBound)) {
			late++
			got := byID[a.request]
			say(r, "DRAIN: request %s reached %s %d ms after the ack of its drain; it was sent %d ms before the ack, and answered %d",
				a.request, l.server.id, a.at.Sub(l.drained).Milliseconds(), l.drained.Sub(got.sent).Milliseconds(), got.status)
		}
	}
	say(r, "requests %d, statuses %v, servers left %d, late arrivals %d, processes ended %d", len(answers), statuses, len(leavers), late, d.ended())
	if late > 0 {
		return broken
	}
	return held
}
