// Package demo runs a whole deployment in one process on loopback: the
// platform, the upstreams and the network as stand-ins, the nodes as in
// production, callers with an open-loop load, and a checker that compares what
// callers got with what the stand-ins recorded.
package demo

import (
	"fmt"
	"time"

	"geraniumstep.org/geraniumstep/internal/fakes"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// Deployment describes one firm's fleet and load.
type Deployment struct {
	name    string
	domains []string
	// near is the delay between failure domains and client that to callers.
	near, client time.Duration
	nodes        int
	archives     []archive
	templates    []config.TemplateSpec
	workspaces   []config.WorkspaceSpec
	mix          []share
	holdRate     float64
	holds        ask
	probe        string
	// busiest is the archive whose capacity bounds the load.
	busiest string
}

// archive describes the servers of one kind of service.
type archive struct {
	name     string
	servers  int
	shards   int
	replicas int
	shape    fakes.UpstreamConfig
}

// share is a part of the searches: the template, the workspaces that send it
// in turn, and its part of the rate.
type share struct {
	priority prio.Priority
	ask
	part float64
}

// ask is a kind of request.
type ask struct {
	template   string
	workspaces []string
}

const (
	sigma      = 0.4
	tail       = 0.005
	tailFactor = 5
	// small and large are the mean service times of the two kinds of server.
	small = 20 * time.Millisecond
	large = 8 * time.Millisecond
)

func shape(slots, conns int, connect, service time.Duration) fakes.UpstreamConfig {
	return fakes.UpstreamConfig{Slots: slots, Conns: conns, Connect: connect, Service: service, Sigma: sigma, TailShare: tail, TailFactor: tailFactor}
}

// Karatasi weighs tail latency and urgent work most.
func Karatasi() Deployment {
	const (
		urgentTarget, standardTarget, bulkTarget = 150 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second
	)
	return Deployment{
		name:    "karatasi",
		domains: []string{"nairobi", "mombasa", "kisumu"},
		near:    500 * time.Microsecond, client: time.Millisecond,
		nodes: 9,
		archives: []archive{
			{"seats", 40, 20, 2, shape(2, 25, 6*time.Millisecond, small)},
			{"desks", 60, 30, 2, shape(2, 25, 6*time.Millisecond, small)},
			{"holds", 15, 15, 1, shape(2, 110, time.Millisecond, large)},
			{"groups", 7, 7, 2, shape(2, 110, time.Millisecond, large)},
		},
		templates: []config.TemplateSpec{
			searchTemplate("seat-search", search.MergeTopK, 10, "seats"),
			searchTemplate("organiser-view", search.MergeConcat, 0, "seats", "desks"),
			searchTemplate("group-request", search.MergeTopK, 20, "seats", "groups"),
			searchTemplate("probe", search.MergeConcat, 0, "groups"),
			{Name: "seat-hold", Archives: []string{"holds"}, Merge: search.MergeConcat, Partition: "seat", Parameters: []string{"seat", "q"}},
		},
		workspaces: []config.WorkspaceSpec{
			workspace("folders-app", prio.Urgent, urgentTarget, config.PreferLatency, 0.9, "seats", "holds"),
			workspace("folders-web", prio.Urgent, urgentTarget, config.PreferLatency, 0.9, "seats", "holds"),
			workspace("organisers-east", prio.Standard, standardTarget, config.PreferLatency, 0.95, "seats", "desks"),
			workspace("organisers-coast", prio.Standard, standardTarget, config.PreferLatency, 0.95, "seats", "desks"),
			workspace("schools-city", prio.Bulk, bulkTarget, config.PreferCoverage, 0, "seats", "groups"),
			workspace("schools-lake", prio.Bulk, bulkTarget, config.PreferCoverage, 0, "seats", "groups"),
			workspace(probeWorkspace, prio.Urgent, urgentTarget, config.PreferCoverage, 0, "groups"),
		},
		mix: []share{
			{prio.Urgent, ask{"seat-search", []string{"folders-app", "folders-web"}}, 0.5},
			{prio.Standard, ask{"organiser-view", []string{"organisers-east", "organisers-coast"}}, 0.25},
			{prio.Bulk, ask{"group-request", []string{"schools-city", "schools-lake"}}, 0.25},
		},
		holdRate: 0.1,
		holds:    ask{"seat-hold", []string{"folders-app", "folders-web"}},
		probe:    "groups",
		busiest:  "seats",
	}
}

// Villakude weighs coverage most.
func Villakude() Deployment {
	const (
		urgentTarget, standardTarget, bulkTarget = 200 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second
	)
	return Deployment{
		name:    "villakude",
		domains: []string{"viljandi", "tallinn", "tartu"},
		near:    1500 * time.Microsecond, client: 3 * time.Millisecond,
		nodes: 8,
		archives: []archive{
			{"orders", 40, 20, 2, shape(2, 25, 6*time.Millisecond, small)},
			{"shop", 60, 30, 2, shape(2, 25, 6*time.Millisecond, small)},
			{"ledger", 5, 5, 1, shape(3, 40, time.Millisecond, large)},
			{"looms", 3, 3, 2, shape(3, 40, time.Millisecond, large)},
		},
		templates: []config.TemplateSpec{
			searchTemplate("lot-lookup", search.MergeConcat, 0, "orders"),
			searchTemplate("shop-search", search.MergeTopK, 20, "orders", "shop"),
			searchTemplate("order-work", search.MergeSum, 0, "orders", "looms"),
			searchTemplate("probe", search.MergeConcat, 0, "looms"),
			{Name: "order-entry", Archives: []string{"ledger"}, Merge: search.MergeConcat, Partition: "seat", Parameters: []string{"seat", "q"}},
		},
		workspaces: []config.WorkspaceSpec{
			workspace("phone-fi", prio.Urgent, urgentTarget, config.PreferCoverage, 0, "orders", "ledger"),
			workspace("phone-lv", prio.Urgent, urgentTarget, config.PreferCoverage, 0, "orders", "ledger"),
			workspace("shop-fi", prio.Standard, standardTarget, config.PreferCoverage, 0, "orders", "shop"),
			workspace("shop-lv", prio.Standard, standardTarget, config.PreferCoverage, 0, "orders", "shop"),
			workspace("planning", prio.Bulk, bulkTarget, config.PreferCoverage, 0, "orders", "looms"),
			workspace("invoicing", prio.Bulk, bulkTarget, config.PreferCoverage, 0, "orders", "looms"),
			workspace(probeWorkspace, prio.Urgent, urgentTarget, config.PreferCoverage, 0, "looms"),
		},
		mix: []share{
			{prio.Urgent, ask{"lot-lookup", []string{"phone-fi", "phone-lv"}}, 0.5},
			{prio.Standard, ask{"shop-search", []string{"shop-fi", "shop-lv"}}, 0.25},
			{prio.Bulk, ask{"order-work", []string{"planning", "invoicing"}}, 0.25},
		},
		holdRate: 0.1,
		holds:    ask{"order-entry", []string{"phone-fi", "phone-lv"}},
		probe:    "looms",
		busiest:  "orders",
	}
}

// Find gives the deployment of that name.
func Find(name string) (Deployment, error) {
	switch name {
	case "karatasi":
		return Karatasi(), nil
	case "villakude":
		return Villakude(), nil
	}
	return Deployment{}, fmt.Errorf("there is no deployment %q; use karatasi or villakude", name)
}

const probeWorkspace = "probe"

func searchTemplate(name string, merge search.Merge, limit int, archives ...string) config.TemplateSpec {
	return config.TemplateSpec{Name: name, Archives: archives, Merge: merge, Limit: limit, Idempotent: true, Parameters: []string{"q"}}
}

// deadlineFactor is how much longer than its target a workspace waits at most.
const deadlineFactor = 5

func workspace(name string, p prio.Priority, target time.Duration, prefer config.Preference, coverage float64, archives ...string) config.WorkspaceSpec {
	return config.WorkspaceSpec{
		Name: name, Archives: archives, Priority: p, Target: config.Duration(target),
		Deadline: config.Duration(deadlineFactor * target), Prefer: prefer, Coverage: coverage,
	}
}

func (d Deployment) archive(name string) archive {
	for _, a := range d.archives {
		if a.name == name {
			return a
		}
	}
	return archive{}
}

// capacity is how many searches a second the busiest archive can serve.
func (d Deployment) capacity() float64 {
	a := d.archive(d.busiest)
	slots := float64(a.servers * a.shape.Slots)
	return slots / a.shape.Service.Seconds() / float64(a.shards)
}

// target is the latency that the workspaces of a priority want.
func (d Deployment) target(p prio.Priority) time.Duration {
	for _, w := range d.workspaces {
		if w.Priority == p {
			return time.Duration(w.Target)
		}
	}
	return 0
}
