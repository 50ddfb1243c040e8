package relay

import (
	"github.com/prometheus/client_golang/prometheus"

	"geraniumstep.org/geraniumstep/pkg/trace"
)

type metrics struct {
	requests *prometheus.CounterVec
	sends    *prometheus.CounterVec
	failures *prometheus.CounterVec
	broken   *prometheus.CounterVec
	// exhausted counts messages that were not read for lack of memory.
	exhausted prometheus.Counter
	// quarantined counts requests that were rejected because equal ones have
	// crashed upstreams.
	quarantined prometheus.Counter
	// unknownKeys counts requests whose key belongs to no workspace.
	unknownKeys prometheus.Counter
	// rejected counts the rejections of admission control, and aboveShare is the number of
	// workspaces above their share.
	rejected   *prometheus.CounterVec
	aboveShare prometheus.GaugeFunc
	// canaries counts searches that waited for the result of a canary.
	canaries prometheus.Counter
	alerted  prometheus.Gauge
	// cut is whether no upstream can be reached, and detours counts the calls that
	// other nodes then take.
	cut     prometheus.Gauge
	detours *prometheus.CounterVec
	denied  prometheus.Counter
	// remoteHedges counts extra attempts that a node of another region sends.
	remoteHedges prometheus.Counter
	// rests counts the answers in which upstreams asked for no requests for some time.
	rests prometheus.Counter
	// limited counts attempts that the limits of upstreams did not allow in time.
	limited prometheus.Counter
	// coldHeld counts attempts that were not sent because their upstream is cold.
	coldHeld prometheus.Counter
	// paceHeld counts placements from which recovering upstreams were held back.
	paceHeld prometheus.Counter
	latency  *prometheus.HistogramVec
	upstream prometheus.Histogram
	version  prometheus.Gauge
	// evacuated is the number of evacuated failure domains.
	evacuated prometheus.Gauge
	// withdrawn counts the attempts that were withdrawn before they were sent.
	withdrawn *prometheus.CounterVec
	// stages holds the times of attempts by stage, and stage its part for each one.
	stages *prometheus.HistogramVec
	stage  [trace.StageEnded]prometheus.Observer
}

// latencyBuckets range from the response time of a healthy upstream to the longest
// deadline.
var latencyBuckets = prometheus.ExponentialBuckets(0.002, 1.6, 18)

func newMetrics(aboveShare func() int) *metrics {
	m := &metrics{
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumstep_relay_requests_total", Help: "Requests by priority and outcome."}, []string{"priority", "outcome"}),
		sends: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumstep_relay_sends_total", Help: "Attempts at upstreams by reason."}, []string{"reason"}),
		failures: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumstep_relay_failures_total", Help: "Failed attempts by cause."}, []string{"cause"}),
		broken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumstep_relay_broken_total", Help: "Attempts without a response, by what was found out about the upstream."}, []string{"state"}),
		exhausted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_relay_memory_exhausted_total", Help: "Bodies of callers and responses of upstreams that were not read, because others hold all memory set aside for them."}),
		quarantined: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_relay_quarantined_total", Help: "Requests rejected because equal ones have crashed upstreams."}),
		unknownKeys: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_relay_unknown_keys_total", Help: "Requests rejected because no workspace has their key."}),
		rejected: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumstep_relay_rejected_total", Help: "Requests that admission control rejected, by cause."}, []string{"cause"}),
		aboveShare: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "geraniumstep_relay_workspaces_above_share", Help: "Workspaces of which requests were rejected in the last 10 s because they had more than their share."},
			func() float64 { return float64(aboveShare()) }),
		canaries: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_relay_canaries_total", Help: "Unproven searches of which one shard request was sent alone first, because upstreams have crashed of late."}),
		alerted: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "geraniumstep_relay_alerted", Help: "1 while upstreams have crashed of late under searches that have not completed since."}),
		cut: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "geraniumstep_relay_cut", Help: "1 while no upstream can be reached on a new connection."}),
		detours: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumstep_relay_detours_total", Help: "Calls by way of other nodes while no upstream can be reached, by outcome."}, []string{"outcome"}),
		denied: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_relay_extra_denied_total", Help: "Hedges and retries that the budget did not allow."}),
		remoteHedges: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_relay_remote_hedges_total", Help: "Extra attempts of searches that a node in another region sends to an upstream there."}),
		rests: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_relay_rests_total", Help: "Answers in which an upstream asks for no requests for some time."}),
		limited: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_relay_limited_total", Help: "Attempts that the limit of an upstream did not allow in time."}),
		coldHeld: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_relay_cold_held_total", Help: "Attempts that were not sent because their upstream is cold and gets few requests."}),
		paceHeld: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_relay_pace_held_total", Help: "Placements from which upstreams were held back that have started or recovered or are slow."}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "geraniumstep_relay_seconds", Help: "Time to the answer by priority.", Buckets: latencyBuckets}, []string{"priority"}),
		upstream: prometheus.NewHistogram(prometheus.HistogramOpts{
			Name: "geraniumstep_relay_upstream_seconds", Help: "Time of answered attempts.", Buckets: latencyBuckets}),
		stages: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Name: "geraniumstep_relay_stage_seconds", Help: "Time of attempts by stage.", Buckets: latencyBuckets}, []string{"stage"}),
		version: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "geraniumstep_relay_routes_version", Help: "Version of the routes in force."}),
		evacuated: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "geraniumstep_relay_evacuated_domains", Help: "Failure domains that are evacuated."}),
		withdrawn: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumstep_relay_withdrawn_total", Help: "Attempts that left an upstream before they were sent, by why it took no new ones."}, []string{"cause"}),
	}
	for s := range m.stage {
		m.stage[s] = m.stages.WithLabelValues(trace.Stage(s).String())
	}
	return m
}

func (m *metrics) all() []prometheus.Collector {
	return []prometheus.Collector{
		m.requests,
		m.sends,
		m.failures,
		m.broken,
		m.exhausted,
		m.quarantined,
		m.unknownKeys,
		m.canaries,
		m.alerted,
		m.cut,
		m.detours,
		m.denied,
		m.remoteHedges,
		m.rests,
		m.limited,
		m.coldHeld,
		m.paceHeld,
		m.latency,
		m.upstream,
		m.stages,
		m.version,
		m.evacuated,
		m.withdrawn,
		m.rejected,
		m.aboveShare,
	}
}
