// Package demo runs a complete deployment in one process on loopback: nodes as in
// production, fakes of the platform, the upstreams and the network, and callers
// that send an open-loop load. A checker compares the replies that callers receive
// with what the fake upstreams recorded:
//
//	report, err := demo.Run(ctx, demo.Options{
//		Deployment: "karatasi", Duration: 10 * time.Second, Rate: 0.6,
//		Log: os.Stderr, Level: logrus.ErrorLevel,
//	})
//	...
//	fmt.Print(report.Table())
package demo

import (
	"fmt"
	"time"

	"geraniumstep.org/geraniumstep/internal/fakes"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// Deployment describes a fleet, its configuration and the load on it.
type Deployment struct {
	name    string
	domains []string
	// domainDelay is the one-way delay between failure domains, and
	// callerDelay the one-way delay between callers and any failure domain.
	domainDelay, callerDelay time.Duration
	nodes                    int
	archives                 []archive
	templates                []config.TemplateSpec
	workspaces               []config.WorkspaceSpec
	workloads                []workload
	// submissionRatio is the rate of submissions relative to that of searches.
	submissionRatio float64
	submissions     requestKind
	probeArchive    string
	// busiestArchive is the archive whose capacity limits the load.
	busiestArchive string
}

// archive describes an archive and the upstreams that serve it.
type archive struct {
	name      string
	upstreams int
	shards    int
	replicas  int
	config    fakes.UpstreamConfig
}

// workload describes the searches of one priority: the template, the workspaces
// that send it in turn, and their fraction of the rate of all searches.
type workload struct {
	priority prio.Priority
	requestKind
	fraction float64
}

// requestKind is a template and the workspaces that send requests with it.
type requestKind struct {
	template   string
	workspaces []string
}

const (
	// serviceSigma, tailShare and tailFactor set the spread of the service times;
	// see fakes.UpstreamConfig.
	serviceSigma = 0.4
	tailShare    = 0.005
	tailFactor   = 5
	// smallServiceTime and largeServiceTime are the mean service times of small
	// and large upstreams.
	smallServiceTime = 20 * time.Millisecond
	largeServiceTime = 8 * time.Millisecond
)

func upstreamConfig(slots, conns int, connect, service time.Duration) fakes.UpstreamConfig {
	return fakes.UpstreamConfig{Slots: slots, Conns: conns, Connect: connect, Service: service, Sigma: serviceSigma, TailShare: tailShare, TailFactor: tailFactor}
}

// Karatasi returns a deployment for which tail latency and urgent searches matter
// most.
func Karatasi() Deployment {
	const (
		urgentTarget, standardTarget, bulkTarget = 150 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second
	)
	return Deployment{
		name:        "karatasi",
		domains:     []string{"nairobi", "mombasa", "kisumu"},
		domainDelay: 500 * time.Microsecond, callerDelay: time.Millisecond,
		nodes: 9,
		archives: []archive{
			{"seats", 40, 20, 2, upstreamConfig(2, 25, 6*time.Millisecond, smallServiceTime)},
			{"desks", 60, 30, 2, upstreamConfig(2, 25, 6*time.Millisecond, smallServiceTime)},
			{"holds", 15, 15, 1, upstreamConfig(2, 110, time.Millisecond, largeServiceTime)},
			{"groups", 7, 7, 2, upstreamConfig(2, 110, time.Millisecond, largeServiceTime)},
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
		workloads: []workload{
			{prio.Urgent, requestKind{"seat-search", []string{"folders-app", "folders-web"}}, 0.5},
			{prio.Standard, requestKind{"organiser-view", []string{"organisers-east", "organisers-coast"}}, 0.25},
			{prio.Bulk, requestKind{"group-request", []string{"schools-city", "schools-lake"}}, 0.25},
		},
		submissionRatio: 0.1,
		submissions:     requestKind{"seat-hold", []string{"folders-app", "folders-web"}},
		probeArchive:    "groups",
		busiestArchive:  "seats",
	}
}

// Villakude returns a deployment for which coverage matters most.
func Villakude() Deployment {
	const (
		urgentTarget, standardTarget, bulkTarget = 200 * time.Millisecond, 500 * time.Millisecond, 3 * time.Second
	)
	return Deployment{
		name:        "villakude",
		domains:     []string{"viljandi", "tallinn", "tartu"},
		domainDelay: 1500 * time.Microsecond, callerDelay: 3 * time.Millisecond,
		nodes: 8,
		archives: []archive{
			{"orders", 40, 20, 2, upstreamConfig(2, 25, 6*time.Millisecond, smallServiceTime)},
			{"shop", 60, 30, 2, upstreamConfig(2, 25, 6*time.Millisecond, smallServiceTime)},
			{"ledger", 5, 5, 1, upstreamConfig(3, 40, time.Millisecond, largeServiceTime)},
			{"looms", 3, 3, 2, upstreamConfig(3, 40, time.Millisecond, largeServiceTime)},
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
		workloads: []workload{
			{prio.Urgent, requestKind{"lot-lookup", []string{"phone-fi", "phone-lv"}}, 0.5},
			{prio.Standard, requestKind{"shop-search", []string{"shop-fi", "shop-lv"}}, 0.25},
			{prio.Bulk, requestKind{"order-work", []string{"planning", "invoicing"}}, 0.25},
		},
		submissionRatio: 0.1,
		submissions:     requestKind{"order-entry", []string{"phone-fi", "phone-lv"}},
		probeArchive:    "looms",
		busiestArchive:  "orders",
	}
}

// Find returns the deployment with the name.
func Find(name string) (Deployment, error) {
	switch name {
	case "karatasi":
		return Karatasi(), nil
	case "villakude":
		return Villakude(), nil
	}
	return Deployment{}, fmt.Errorf("there is no deployment %q; use karatasi or villakude", name)
}

// probeWorkspace is the workspace that the prober changes and searches.
const probeWorkspace = "probe"

func searchTemplate(name string, merge search.Merge, limit int, archives ...string) config.TemplateSpec {
	return config.TemplateSpec{Name: name, Archives: archives, Merge: merge, Limit: limit, Idempotent: true, Parameters: []string{"q"}}
}

// deadlineFactor is the ratio of a workspace's deadline to its target.
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

// capacity returns the number of searches per second that the busiest archive can
// serve.
func (d Deployment) capacity() float64 {
	a := d.archive(d.busiestArchive)
	slots := float64(a.upstreams * a.config.Slots)
	return slots / a.config.Service.Seconds() / float64(a.shards)
}

// target returns the target latency of the workspaces of a priority.
func (d Deployment) target(p prio.Priority) time.Duration {
	for _, w := range d.workspaces {
		if w.Priority == p {
			return time.Duration(w.Target)
		}
	}
	return 0
}
