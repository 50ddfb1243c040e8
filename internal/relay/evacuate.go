package relay

// SetEvacuated replaces the evacuated failure domains. Their upstreams get nothing new, but keep
// their statistics and connections, so that they serve at once when the evacuation ends.
func (e *Engine) SetEvacuated(domains []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	evacuated := make(map[string]bool, len(domains))
	for _, d := range domains {
		evacuated[d] = true
	}
	e.evacuated = evacuated
	e.metrics.evacuated.Set(float64(len(domains)))
	e.updateDirectory()
}
