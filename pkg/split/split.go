// Package split distributes requests over services in proportion to weights, by smooth
// weighted round-robin. After any number of requests to n services, the count of each
// is at most n-1 requests away from its share, so the proportion also holds over
// short spans.
//
//	s := split.New()
//	service := s.Next("route", parts)
package split

import (
	"sync"

	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// Splitter keeps the current weights of the services of each route. It is safe for
// concurrent use.
type Splitter struct {
	mu     sync.Mutex
	routes map[string]map[string]float64
}

// New returns an empty Splitter.
func New() *Splitter { return &Splitter{routes: make(map[string]map[string]float64)} }

// Next returns the service of the route's next request, or "" if no part has a
// positive weight. The current weights of the services that stay are kept when the
// configured weights change.
func (s *Splitter) Next(route string, parts []vhost.Part) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.routes[route]
	current := make(map[string]float64, len(parts))
	total := 0.0
	best := ""
	for _, p := range parts {
		if p.Weight() <= 0 {
			continue
		}
		total += p.Weight()
		current[p.Service()] += previous[p.Service()] + p.Weight()
		if best == "" || current[p.Service()] > current[best] {
			best = p.Service()
		}
	}
	if best != "" {
		current[best] -= total
	}
	s.routes[route] = current
	return best
}
