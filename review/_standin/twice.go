package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// garbleShare is the share of the answers that the faulty server garbles. The largest in
	// the site files is 0.04, of half of the servers: here, one of three.
	garbleShare = 0.04
	// twiceRate is the number of requests a second, and twiceLength how long they come.
	twiceRate   = 600
	twiceLength = 100 * time.Second
	// episode is the length of one disruption, and pause the time between two.
	episode = 5 * time.Second
	pause   = time.Second
)

// playTwice sends requests that may run once while one server garbles some of its answers.
func playTwice(r *record, trouble bool) (int, error) {
	d, err := newDeployment(r, []string{"viljandi-mill", "tallinn-office", "tartu-dyehouse"})
	if err != nil {
		return failed, err
	}
	defer d.stop()
	var servers []*server
	for i, zone := range d.zones {
		s, err := newServer(fmt.Sprintf("i-%d", i+1), "kafi81c", zone, 5*time.Millisecond, 3, 12, r)
		if err != nil {
			return failed, err
		}
		defer s.exit()
		servers = append(servers, s)
		d.store.Put("servers", s.id, s.entry())
	}
	d.store.Put("config", "main", unsafeRoute(1, "/timi402/", "kafi81c"))
	if err := d.start(); err != nil {
		return failed, err
	}
	time.Sleep(2 * time.Second)
	done := make(chan struct{})
	go func() {
		defer close(done)
		if trouble {
			disturbTwice(r, servers[0])
		}
	}()
	c := newClients(r, d.nodes, "/timi402/")
	c.run(twiceRate, twiceLength)
	answers := c.await()
	<-done
	return judgeTwice(r, d, answers), nil
}

// disturbTwice makes the server garble answers, in episodes of the length that the site
// files name, with pauses.
func disturbTwice(r *record, s *server) {
	for end := time.Now().Add(twiceLength - pause - episode); time.Now().Before(end); {
		time.Sleep(pause)
		r.add("note %s begins to garble answers", s.id)
		s.setFaults(faults{garble: garbleShare})
		time.Sleep(episode)
		s.setFaults(faults{})
		r.add("note %s no longer garbles answers", s.id)
	}
}

// judgeTwice counts the requests that ran more than once, and those that were said not to
// have run though they have.
func judgeTwice(r *record, d *deployment, answers []answer) int {
	twice, refused, wrong, statuses := 0, 0, 0, make(map[int]int)
	for _, a := range answers {
		statuses[a.status]++
		runs := r.runsOf(a.request)
		if len(runs) > 1 {
			twice++
			say(r, "TWICE: request %s ran at %s and then at %s, %d ms apart", a.request, runs[0].server, runs[1].server, runs[1].at.Sub(runs[0].at).Milliseconds())
		}
		if isPromise(a.status) && len(runs) > 0 {
			refused++
			say(r, "REFUSED: request %s was answered %d and has run at %s", a.request, a.status, runs[0].server)
		}
		if a.status == http.StatusOK && !matches(a, runs) {
			wrong++
			say(r, "MIXED: request %s was answered with the stamp %q", a.request, a.stamp)
		}
	}
	say(r, "requests %d, statuses %v, ran twice %d, refused though run %d, wrong answers %d, processes ended %d", len(answers), statuses, twice, refused, wrong, d.ended())
	if twice+refused+wrong > 0 {
		return broken
	}
	return held
}

// matches reports whether the answer is that of one of the runs.
func matches(a answer, runs []ran) bool {
	for _, one := range runs {
		s := server{id: one.server}
		if a.stamp == s.stamp(a.request) && a.body == s.body(a.request) {
			return true
		}
	}
	return false
}
