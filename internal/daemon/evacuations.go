package daemon

import (
	"strings"

	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/pkg/evac"
)

// followEvacuations makes the state follow the evacuations. Until it has them, no upstream is
// passed to the engine.
func (s *state) followEvacuations() { s.evacuations = evac.New() }

// topics returns the topics that are followed, in the order of their numbers.
func (s *state) topics() []follow.Topic {
	if s.evacuations == nil {
		return []follow.Topic{follow.Routes, follow.Upstreams}
	}
	return []follow.Topic{follow.Routes, follow.Upstreams, follow.Evacuations}
}

// evacuationRevision returns the revision of the evacuations for other nodes. It is not 0 once
// they are known, so that nodes which know none of them ask for the empty list, too.
func (s *state) evacuationRevision() uint64 {
	if _, loaded := s.views[follow.Evacuations].Position(); !loaded {
		return 0
	}
	return max(s.views[follow.Evacuations].LastChangeRevision(), 1)
}

// applyEvacuations applies the changes of a batch after which all evacuations are known. Restored
// is whether the store has been restored from an older copy before the batch, so that what it
// lacks may have been lost. mu must be held.
func (s *state) applyEvacuations(changes []follow.Change, revision uint64, restored bool) {
	if s.evacuations == nil {
		return
	}
	first := s.evacuations.Step(evac.Loaded{})
	changed := first
	for _, c := range changes {
		ev, ok := s.decode(follow.Evacuations, c)
		if !ok {
			continue
		}
		switch ev := ev.(type) {
		case follow.EvacuationBegun:
			changed = s.evacuations.Step(evac.Begun{Domain: ev.Domain}) || changed
		case follow.EvacuationEnded:
			if restored {
				changed = s.evacuations.Step(evac.Missing{Domain: ev.Domain}) || changed
			} else {
				changed = s.evacuations.Step(evac.Ended{Domain: ev.Domain}) || changed
			}
		case follow.NewRoutes, follow.UpstreamUpdated, follow.UpstreamRemoved:
		}
	}
	if changed {
		s.updateEvacuated(revision)
	}
	if _, loaded := s.views[follow.Upstreams].Position(); first && loaded {
		s.updateEngine(0)
	}
}

// tickEvacuations ends the evacuations that were not written again after a restore. mu must be
// held.
func (s *state) tickEvacuations() {
	if s.evacuations != nil && s.evacuations.Step(evac.Tick{}) {
		s.updateEvacuated(0)
	}
}

// updateEvacuated passes the evacuated domains to the engine. mu must be held.
func (s *state) updateEvacuated(revision uint64) {
	domains, _ := s.evacuations.Domains()
	s.engine.SetEvacuated(domains)
	_, own := follow.Era(revision)
	s.log.WithFields(logrus.Fields{
		"evacuated": len(domains), "domains": strings.Join(domains[:min(len(domains), maxLoggedEntries)], ", "),
		"kept": s.evacuations.Kept(), "revision": own,
	}).Info("tier: evacuations applied.")
}
