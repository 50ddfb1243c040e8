package main

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"sync"
	"time"

	"geraniumstep.org/geraniumstep/platform/fakes"
)

const (
	restoreService = "kafi81c"
	// restoreServers serve the service. restoreLeavers of them leave in each cycle: 0.15.
	restoreServers = 20
	restoreLeavers = 3
	restoreCycles  = 5
	// heartbeat is the interval of the servers' heartbeats, as the settings name it.
	heartbeat = 1200 * time.Millisecond
	// copyAge is how old the copy is from which the store comes back, and awayTime how long it is
	// away.
	copyAge  = 3 * time.Second
	awayTime = 2 * time.Second
	// leaveGap is the time between the reports of two servers that leave, and awayAfter that
	// from the last report until the store goes away.
	leaveGap  = 60 * time.Millisecond
	awayAfter = 100 * time.Millisecond
	// stableWindow is stableWindowMs. Before it has passed, no machine is in touch.
	stableWindow = 5 * time.Second
	// servesOn is how long a server that leaves serves after drainBound: "at times many seconds".
	servesOn = 9 * time.Second
)

// registry has servers write their entries to the store as long as they live.
type registry struct {
	store *fakes.Store

	mu   sync.Mutex
	away bool
	// held maps the servers to the state that the store holds of them, and accepted to when it
	// last accepted that.
	held     map[string]string
	accepted map[string]time.Time
}

// acceptedAt returns when the store last accepted the state of a server.
func (g *registry) acceptedAt(s *server) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.accepted[s.id]
}

// older is a copy of the store.
type older struct {
	contents fakes.Copy
	held     map[string]string
}

func (g *registry) copy() older {
	g.mu.Lock()
	defer g.mu.Unlock()
	return older{g.store.Copy(), maps.Clone(g.held)}
}

// write writes the entry of a server, unless the store is away. An entry that is as the store holds it
// changes nothing.
func (g *registry) write(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	entry := s.entry()
	state := entry["state"].(string)
	if g.away || g.held[s.id] == state {
		return
	}
	g.held[s.id] = state
	g.store.Put("servers", s.id, entry)
	g.accepted[s.id] = time.Now()
	s.record.add("note the store has accepted that %s is %s", s.id, state)
}

func (g *registry) remove(s *server) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.held, s.id)
	g.store.Delete("servers", s.id)
}

// beat writes the entry of a server at intervals, which begin at a random time, until it has left.
func (g *registry) beat(s *server, left <-chan struct{}) {
	time.Sleep(rand.N(heartbeat))
	ticker := time.NewTicker(heartbeat)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.write(s)
		case <-left:
			return
		}
	}
}

// drill takes the store away for a moment, and brings it back from the copy.
func (g *registry) drill(r *record, c older) time.Time {
	g.mu.Lock()
	g.away = true
	g.store.SetFault(fakes.StoreFaultReset)
	g.mu.Unlock()
	r.add("note the store is away")
	time.Sleep(awayTime)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.store.Restore(c.contents)
	g.held = c.held
	g.store.SetFault(fakes.StoreFaultNone)
	g.away = false
	r.add("note the store is back from an older copy")
	return time.Now()
}

// restoreLeaver is a server that has left.
type restoreLeaver struct {
	server *server
	// drained is when the store first accepted that it drains, and again when it last did.
	// judged is from when on machines are in touch.
	drained, again, judged time.Time
}

// playRestore has servers leave, and the store come back from an older copy at about the same
// time.
func playRestore(r *record, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"nbo-a", "mba-a", "ksm-a"})
	if err != nil {
		return failed, err
	}
	defer d.stop()
	d.store.Restore(d.store.Copy()) // begins the first era, which all answers name
	g := &registry{store: d.store, held: make(map[string]string), accepted: make(map[string]time.Time)}
	count := 0
	var servers []*server
	left := make(map[*server]chan struct{})
	add := func() error {
		s, err := newServer(fmt.Sprintf("i-%d", count+1), restoreService, d.zones[count%len(d.zones)], 160*time.Millisecond, 2, 8, r)
		if err != nil {
			return err
		}
		count++
		servers = append(servers, s)
		left[s] = make(chan struct{})
		g.write(s)
		go g.beat(s, left[s])
		return nil
	}
	for range restoreServers {
		if err := add(); err != nil {
			return failed, err
		}
	}
	d.store.Put("config", "main", unsafeRoute(1, "/timi402/", restoreService))
	if err := d.start(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	c := newClients(r, d.nodes, "/timi402/")
	done := make(chan struct{})
	var leavers []restoreLeaver
	go func() {
		defer close(done)
		for range restoreCycles {
			start := time.Now()
			time.Sleep(stableWindow - copyAge) // with the last cycle's end, the store is stable
			before := g.copy()
			time.Sleep(copyAge)
			var leaving []restoreLeaver
			for _, s := range servers[:restoreLeavers] {
				s.setState("draining")
				g.write(s)
				leaving = append(leaving, restoreLeaver{server: s, drained: time.Now(), judged: time.Now()})
				time.Sleep(leaveGap)
			}
			time.Sleep(awayAfter)
			if trouble {
				back := g.drill(r, before)
				for i := range leaving {
					leaving[i].judged = back.Add(stableWindow)
				}
			}
			time.Sleep(time.Until(leaving[0].drained.Add(drainBound + servesOn)))
			for _, l := range leaving {
				close(left[l.server])
				l.again = g.acceptedAt(l.server)
				l.server.exit()
				g.remove(l.server)
				r.add("note %s has left", l.server.id)
				leavers = append(leavers, l)
			}
			servers = servers[restoreLeavers:]
			for range restoreLeavers {
				if err = add(); err != nil {
					return
				}
			}
			time.Sleep(time.Until(start.Add(cycleLength)))
		}
	}()
	c.run(60, restoreCycles*cycleLength)
	<-done
	answers := c.await()
	for _, s := range servers {
		close(left[s])
		s.exit()
	}
	if err != nil {
		return failed, err
	}
	return judgeRestore(r, d, leavers, answers), nil
}

// judgeRestore counts the requests that machines in touch sent to a server later than
// drainBound after the store had accepted that the server drains: first while it was stable, and
// again after it had come back.
func judgeRestore(r *record, d *deployment, leavers []restoreLeaver, answers []answer) int {
	byID := make(map[string]answer)
	statuses := make(map[int]int)
	for _, a := range answers {
		byID[a.request] = a
		statuses[a.status]++
	}
	late, lost := 0, 0
	for _, l := range leavers {
		n, gone := 0, 0
		var first, last time.Time
		for _, a := range l.server.arrivalsAfter(l.again.Add(drainBound)) {
			got := byID[a.request]
			if got.sent.Before(l.judged) {
				continue // taken while no machine was in touch
			}
			if n++; n == 1 {
				first = a.at
			}
			last = a.at
			if got.status != 200 {
				gone++
				say(r, "LOST: request %s reached %s and was answered %d after the server had left", a.request, l.server.id, got.status)
			}
		}
		late += n
		lost += gone
		if n > 0 {
			say(r, "DRAIN: %d requests reached %s, the first %.1f s and the last %.1f s after the first ack of its drain, which was given again %.1f s after it", n, l.server.id,
				first.Sub(l.drained).Seconds(), last.Sub(l.drained).Seconds(), l.again.Sub(l.drained).Seconds())
		}
	}
	say(r, "requests %d, statuses %v, servers left %d, late arrivals %d, of them lost %d, processes ended %d", len(answers), statuses, len(leavers), late, lost, d.ended())
	if late > 0 {
		return broken
	}
	return held
}
