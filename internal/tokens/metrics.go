package tokens

import "github.com/prometheus/client_golang/prometheus"

type metrics struct {
	// taken counts the tokens that requests of this node used, by where they came from,
	// and limited the requests without one.
	taken   *prometheus.CounterVec
	limited prometheus.Counter
	// asked counts the questions of this node, and granted the tokens of its server.
	asked   *prometheus.CounterVec
	granted prometheus.Counter
	pledges prometheus.GaugeFunc
	part    prometheus.GaugeFunc
	tokens  prometheus.GaugeFunc
	stock   prometheus.GaugeFunc
}

func newMetrics(t *Tokens) *metrics {
	return &metrics{
		taken: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumstep_tokens_taken_total", Help: "Requests of workspaces with a limit that got a token, by where it came from."}, []string{"from"}),
		limited: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_tokens_limited_total", Help: "Requests rejected because they exceed the allotment of their workspace."}),
		asked: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "geraniumstep_tokens_asked_total", Help: "Questions to token servers by distance and outcome."}, []string{"distance", "outcome"}),
		granted: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "geraniumstep_tokens_granted_total", Help: "Tokens that the server of this node granted."}),
		pledges: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "geraniumstep_tokens_pledges", Help: "Valid pledges to the server of this node."}, func() float64 { n, _, _ := t.server.State(); return float64(n) }),
		part: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "geraniumstep_tokens_part", Help: "Sum of the valid pledges as a share of the part of the failure domain."}, func() float64 { _, p, _ := t.server.State(); return p }),
		tokens: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "geraniumstep_tokens_available", Help: "Tokens of all workspaces at the server of this node."}, func() float64 { _, _, n := t.server.State(); return n }),
		stock: prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Name: "geraniumstep_tokens_stock", Help: "Unused tokens that this node holds."}, func() float64 { return float64(t.stock.Len()) }),
	}
}

func (m *metrics) all() []prometheus.Collector {
	return []prometheus.Collector{m.taken, m.limited, m.asked, m.granted, m.pledges, m.part, m.tokens, m.stock}
}
