// Package split spreads requests over services in exact proportion to weights.
// After any number of requests each service's count is within one request for
// each other service of its share, so the proportion holds over short spans too.
//
//	w := split.New()
//	service := w.Next("route", parts)
package split

import (
	"sync"

	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// Splitter remembers what each route owes to its services. It is safe for
// concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]map[string]float64
}

// New returns an empty Wheel.
func New() *Splitter { return &Splitter{routes: make(map[string]map[string]float64)} }

// Next chooses the service of the route's next request by smooth weighted
// round-robin. What is owed survives a change of the weights.
func (w *Splitter) Next(route string, parts []vhost.Part) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.routes[route]
	owed := make(map[string]float64, len(parts))
	total := 0.0
	best := ""
	for _, p := range parts {
		if p.Weight() <= 0 {
			continue
		}
		total += p.Weight()
		owed[p.Service()] += old[p.Service()] + p.Weight()
		if best == "" || owed[p.Service()] > owed[best] {
			best = p.Service()
		}
	}
	if best != "" {
		owed[best] -= total
	}
	w.routes[route] = owed
	return best
}
