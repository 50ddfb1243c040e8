package daemon

import (
	"geraniumstep.org/geraniumstep/internal/relay"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

// crashEvidence is the node's record of crashes. The engine learns of those that other
// nodes report.
type crashEvidence struct {
	*poison.Tracker
	engine *relay.Engine
}

// Merge implements mesh.Evidence.
func (c crashEvidence) Merge(reports []poison.Report) []poison.Report {
	return c.engine.LearnCrashes(reports)
}
