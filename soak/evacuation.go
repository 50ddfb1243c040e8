package main

import "time"

// evacuationBound is the time after which the servers of an evacuated zone must receive no more
// requests, as the settings of the nodes state it.
const evacuationBound = 5 * time.Second

// evacuation is a time in which a zone is evacuated.
type evacuation struct {
	zone     string
	from, to time.Time
}

// evacuateZone evacuates a zone for some time, unless one is. Each service has servers in the other
// one.
func evacuateZone(e *testEnv) activeFault {
	v := evacuation{zone: zones[e.random.IntN(len(zones))]}
	length := e.randomDuration(evacuationBound+time.Second, 2*evacuationBound)
	if !e.setEvacuated(v.zone, true) {
		return activeFault{detail: "one is evacuated already", planned: true, end: func() {}}
	}
	v.from = time.Now()
	return activeFault{detail: v.zone, planned: true, duration: length, end: func() {
		v.to = time.Now()
		e.setEvacuated(v.zone, false)
		e.checker.mu.Lock()
		defer e.checker.mu.Unlock()
		// Another build may not follow the evacuations.
		if len(e.programs) == 1 {
			e.checker.evacuations = append(e.checker.evacuations, v)
		}
	}}
}

// setEvacuated begins or ends the evacuation of a zone. It reports false, and begins none, while a
// zone is evacuated.
func (e *testEnv) setEvacuated(zone string, yes bool) bool {
	e.mu.Lock()
	if yes && len(e.evacuated) > 0 {
		e.mu.Unlock()
		return false
	}
	if yes {
		e.evacuated[zone] = true
	} else {
		delete(e.evacuated, zone)
	}
	e.mu.Unlock()
	e.writeEvacuations()
	return true
}

// writeEvacuations makes the store hold the evacuations, also those that it has lost.
func (e *testEnv) writeEvacuations() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, zone := range zones {
		switch held := e.store.Has("evacuations", zone); {
		case e.evacuated[zone] && !held:
			e.store.Put("evacuations", zone, map[string]any{})
		case !e.evacuated[zone] && held:
			e.store.Delete("evacuations", zone)
		}
	}
}

// checkEvacuations checks that the servers of an evacuated zone got no requests after the bound. It
// must be called with mu held.
func (c *checker) checkEvacuations() {
	for _, v := range c.evacuations {
		late := 0
		for _, r := range c.runLog.Runs("") {
			if c.zones[r.Server] == v.zone && r.At.Sub(v.from) > evacuationBound && r.At.Before(v.to) && c.allSettled(r.At) {
				late++
			}
		}
		if late > 0 {
			c.violate("evacuation: servers in zone %s ran %d requests later than %v after its evacuation", v.zone, late, evacuationBound)
		}
	}
}
