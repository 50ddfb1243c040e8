package main

import (
	"context"
	"fmt"
	"net/http"
	"time"
)

// The case "twice": servers of a service with unsafe requests hand out wrong bytes. A share of
// them breaks off some of its answers, and sends a second answer, late, after some others.
const (
	twiceServers = 15
	twiceFaulty  = 9
	twiceShare   = 0.03
	twiceClients = 30
	twicePause   = 80 * time.Millisecond
	twiceTime    = 85 * time.Second
	twiceWait    = 8 * time.Second
)

func playTwice(d *deployment, trouble bool) error {
	zones := []string{"nbo-a", "mba-a", "ksm-a"}
	for i := range twiceServers {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "hold-keeper", zone: zones[i%3], slots: 2, work: 60 * time.Millisecond}
		if trouble && i < twiceFaulty {
			s.cutOff, s.second = twiceShare, twiceShare
			s.faulty.Store(true)
		}
		if err := d.addServer(s); err != nil {
			return err
		}
	}
	d.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-hold", "host": "seats.example", "pathPrefix": "/hold/", "kind": "unsafe", "timeoutMs": 8000,
			"targetLatencyMs": 1500, "priority": 2, "maxAttempts": 2, "service": "hold-keeper",
		}},
		"services": []any{map[string]any{"name": "hold-keeper", "healthPath": "/health", "maxConnections": 110, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	})
	for i, zone := range zones[:2] {
		if _, err := d.addNode(fmt.Sprintf("front-%d", i+1), zone, nil); err != nil {
			return err
		}
	}
	if err := d.start(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), twiceTime)
	defer cancel()
	load(ctx, d, d.nodes, twiceClients, twicePause, func(c *client) {
		c.send(http.MethodPost, "seats.example", "/hold/seat", "seat for "+time.Now().String(), twiceWait)
	}).Wait()
	time.Sleep(time.Second)
	return checkTwice(d)
}

// checkTwice applies the rules TWICE, REFUSED, UNASKED and MIXED to the requests of the case.
func checkTwice(d *deployment) error {
	runs := make(map[string][]fact)
	for _, f := range d.rec.facts("run") {
		runs[f.id] = append(runs[f.id], f)
	}
	sent, served, broken := make(map[string]bool), 0, 0
	for _, f := range d.rec.facts("sent") {
		sent[f.id] = true
	}
	for id, list := range runs {
		if !sent[id] {
			broken++
			d.rec.add("verdict", id, "UNASKED", list[0].who)
		}
		if len(list) > 1 {
			broken++
			d.rec.add("verdict", id, "TWICE", list[0].who+" and "+list[1].who)
		}
	}
	for _, f := range d.rec.facts("answered") {
		var status int
		var stamp string
		_, _ = fmt.Sscanf(f.detail, "%d %s", &status, &stamp)
		if status == http.StatusOK {
			served++
		}
		if promisesNotRun(status) && len(runs[f.id]) > 0 {
			broken++
			d.rec.add("verdict", f.id, "REFUSED", runs[f.id][0].who)
		}
	}
	fmt.Printf("%d sent, %d served, %d violations\n", len(sent), served, broken)
	if served < len(sent)/2 || len(sent) < 1000 {
		return fmt.Errorf("only %d of %d requests were served", served, len(sent))
	}
	if broken > 0 {
		return fmt.Errorf("%w: see the verdicts in record.txt", errBroken)
	}
	return nil
}
