package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sort"
	"sync"
	"time"
)

// The case "quota": a third of the nodes, one of each zone, are cut off from the other nodes for
// 12 s, and their processes are killed and start again. All nodes reach the store, the servers and
// the clients. Before the end of the cut, one tenant sends many times its usual.
const (
	quotaRate   = 40.0
	quotaBurst  = 100.0
	quotaWindow = 5 * time.Second
	quotaBound  = (quotaRate*5+quotaBurst)*1.1 + 20
	// quotaUsual are the requests a second that clients send, and quotaFlood those of the flood.
	quotaUsual = 30.0
	quotaFlood = 7.5 * quotaUsual
	// The times count from the start of traffic.
	quotaCutAt    = 6 * time.Second
	quotaKillAt   = quotaCutAt + 200*time.Millisecond
	quotaFloodAt  = quotaCutAt + 9200*time.Millisecond
	quotaHealAt   = quotaCutAt + 12*time.Second
	quotaFloodFor = 6500 * time.Millisecond
	quotaWait     = 1500 * time.Millisecond
	nodesPerZone  = 3
)

func playQuota(d *deployment, trouble bool) error {
	zones := []string{"nbo-a", "mba-a", "ksm-a"}
	for i := range 12 {
		s := &server{id: fmt.Sprintf("i-%d", i), service: "records", zone: zones[i%3], slots: 6, work: 15 * time.Millisecond}
		if err := d.addServer(s); err != nil {
			return err
		}
	}
	d.store.put("config", "main", map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-pull", "host": "records.example", wire["prefix"]: "/pull/", "kind": "safe", "timeoutMs": 6000,
			wire["target"]: 1000, "priority": 1, wire["attempts"]: 2, "service": "records",
		}},
		"services": []any{map[string]any{"name": "records", "healthPath": "/health", "maxConnections": 440, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "school", "apiKeys": []string{"key-1"}, "ratePerS": quotaRate, "burst": quotaBurst}},
	})
	for i := range nodesPerZone {
		for _, zone := range zones {
			n, err := d.addNode(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
			if err != nil {
				return err
			}
			n.side = min(i, 1)
		}
	}
	if err := d.start(); err != nil {
		return err
	}
	time.Sleep(6 * time.Second)
	begin := time.Now()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var traffic sync.WaitGroup
	traffic.Go(func() { d.send(ctx, begin, 0, quotaFloodAt, quotaUsual) })
	traffic.Go(func() { d.send(ctx, begin, quotaFloodAt, quotaFloodAt+quotaFloodFor, quotaFlood) })
	if trouble {
		if err := d.partition(begin); err != nil {
			return err
		}
	}
	traffic.Wait()
	time.Sleep(quotaWait)
	return checkQuota(d)
}

// partition cuts the two sides from each other, restarts the nodes of the first and ends the cut.
func (d *deployment) partition(begin time.Time) error {
	time.Sleep(time.Until(begin.Add(quotaCutAt)))
	d.rec.add("cut", "", "all", "")
	d.cut.Store(true)
	for _, n := range d.nodes {
		n.link.resetSeparated()
	}
	time.Sleep(time.Until(begin.Add(quotaKillAt)))
	for _, n := range d.nodes {
		if n.side == 0 {
			n.kill()
			if err := d.startNode(n, false); err != nil {
				return err
			}
			d.rec.add("restarted", "", n.name, "")
		}
	}
	time.Sleep(time.Until(begin.Add(quotaHealAt)))
	d.cut.Store(false)
	d.rec.add("healed", "", "all", "")
	return nil
}

// send sends requests at a rate between two times, to all nodes by turns. Each has a client of its
// own.
func (d *deployment) send(ctx context.Context, begin time.Time, from, to time.Duration, perSecond float64) {
	time.Sleep(time.Until(begin.Add(from)))
	var all sync.WaitGroup
	for i := 0; time.Since(begin) < to && ctx.Err() == nil; i++ {
		n := d.nodes[i%len(d.nodes)]
		all.Go(func() {
			c := &client{addr: n.caller, name: n.name, key: "key-1", rec: d.rec}
			c.send(http.MethodGet, "records.example", fmt.Sprintf("/pull/%d", rand.Uint32()), "", quotaWait)
			if c.conn != nil {
				c.close()
			}
		})
		time.Sleep(time.Duration(float64(time.Second) / perSecond))
	}
	all.Wait()
}

// checkQuota applies the rule QUOTA: in no window are more requests both sent and run than the
// bound.
func checkQuota(d *deployment) error {
	sent := make(map[string]time.Duration)
	for _, f := range d.rec.facts("sent") {
		sent[f.id] = f.at
	}
	type span struct{ from, to time.Duration }
	var runs []span
	for _, f := range d.rec.facts("run") {
		runs = append(runs, span{sent[f.id], f.at})
	}
	sort.Slice(runs, func(i, k int) bool { return runs[i].from < runs[k].from })
	most, at := 0, time.Duration(0)
	for _, first := range runs {
		n := 0
		for _, r := range runs {
			if r.from >= first.from && r.to <= first.from+quotaWindow {
				n++
			}
		}
		if n > most {
			most, at = n, first.from
		}
	}
	fmt.Printf("%d sent, %d run, %d in the fullest window (bound %.0f)\n", len(sent), len(runs), most, quotaBound)
	d.rec.add("verdict", "", "QUOTA", fmt.Sprintf("%d requests in the window from %.3f s, bound %.0f", most, at.Seconds(), quotaBound))
	if len(runs) < 500 {
		return errors.New("too few requests were run")
	}
	if float64(most) > quotaBound {
		return fmt.Errorf("%w: %d requests in one window, bound %.0f", errBroken, most, quotaBound)
	}
	return nil
}
