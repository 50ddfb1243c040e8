package node

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/search"
)

const namespace = "geraniumstep"

// metrics holds the metrics that the node updates itself. The other metrics are
// read from their components at collection.
type metrics struct {
	latency   *prometheus.HistogramVec
	coverage  *prometheus.HistogramVec
	refused   *prometheus.CounterVec
	submitted *prometheus.CounterVec
	hedges    prometheus.Counter
	restarts  prometheus.Counter
	dropped   prometheus.Counter
	malformed prometheus.Counter
}

func newMetrics(n *Node) *metrics {
	m := &metrics{
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "search_seconds", Help: "Time from arrival to answer of searches.",
			Buckets: prometheus.ExponentialBuckets(0.002, 1.5, 22),
		}, []string{"priority", "outcome"}),
		coverage: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "search_coverage_ratio", Help: "Share of shards that answers rest on.",
			Buckets: []float64{0.25, 0.5, 0.75, 0.9, 0.95, 0.99, 0.999, 1},
		}, []string{"priority"}),
		refused:   counterVec("searches_refused_total", "Searches refused before any upstream saw them.", "priority"),
		submitted: counterVec("submissions_total", "Non-idempotent requests by outcome.", "priority", "outcome"),
		hedges:    counter("hedges_total", "Second attempts sent before the first had answered."),
		restarts:  counter("search_restarts_total", "Searches restarted on a newer snapshot."),
		dropped:   counter("replies_dropped_total", "Replies that were late, crossed, duplicated or of another version."),
		malformed: counter("datagrams_malformed_total", "Membership datagrams that could not be read."),
	}
	n.registry.MustRegister(m.latency, m.coverage, m.refused, m.submitted, m.hedges, m.restarts, m.dropped, m.malformed,
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	m.gauges(n)
	return m
}

func counterVec(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func counter(name, help string) prometheus.Counter {
	return prometheus.NewCounter(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help})
}

// gauges registers the metrics that are read from their components when metrics
// are collected.
func (m *metrics) gauges(n *Node) {
	gauge := func(name, help string, read func() float64) {
		n.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
	}
	total := func(name, help string, read func() int64) {
		n.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help},
			func() float64 { return float64(read()) }))
	}
	gauge("config_revision", "Configuration in force.", func() float64 { return float64(n.Config().Revision()) })
	gauge("catalogue_revision", "Catalogue in force.", func() float64 { return float64(n.Catalogue().Revision()) })
	gauge("members_live", "Members that are alive or suspect.", func() float64 { return float64(n.view.Load().Size()) })
	gauge("slots_owned", "Slots of the key space that this node owns.", func() float64 { return float64(n.submissions.SlotsOwned()) })
	gauge("keys_remembered", "Idempotency keys remembered.", func() float64 { return float64(n.submissions.KeyCount()) })
	gauge("upstream_requests_in_flight", "Sub-requests at upstreams.", func() float64 { return float64(n.front.InFlight()) })
	gauge("fingerprints_quarantined", "Requests in quarantine.", func() float64 { _, q := n.tracker.Counts(); return float64(q) })
	gauge("fingerprints_suspect", "Requests under suspicion.", func() float64 { s, _ := n.tracker.Counts(); return float64(s) })
	total("upstream_requests_total", "Sub-requests sent to upstreams.", n.front.Counters().Sent)
	total("upstream_crashes_total", "Crashes of upstreams noticed.", n.front.Counters().Crashes)
	total("upstream_drains_total", "Drains of upstreams noticed.", n.front.Counters().Drained)
	total("retries_total", "Sub-requests retried from the budget.", n.retries.Spent)
	total("rescues_total", "Hedges of attempts at upstreams known to be slow.", n.rescues.Spent)
	total("hedges_denied_total", "Hedges for which the budget had no token.", n.hedges.Denied)
	total("gossip_bytes_total", "Bytes of membership datagrams sent.", n.members.bytesOut.Load)
	total("gossip_messages_total", "Membership datagrams sent.", n.members.messages.Load)
	for _, p := range prio.All() {
		gauge("searches_limit_"+p.String(), "Searches of the priority that this node would run at once.", func() float64 {
			return float64(n.admission.gates[p].Limit())
		})
	}
}

// observe records the latency and, for an answered search, the coverage.
func (m *metrics) observe(p prio.Priority, took time.Duration, r search.Result) {
	m.latency.WithLabelValues(p.String(), r.Kind.String()).Observe(took.Seconds())
	if r.Kind == search.KindAnswered {
		m.coverage.WithLabelValues(p.String()).Observe(search.Ratio(r.Coverage))
	}
}
