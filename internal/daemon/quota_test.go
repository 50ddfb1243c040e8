package daemon

import (
	"slices"
	"testing"

	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/quota"
)

// Nodes behind a cut send on: they must not lose their part of a limit to the others, which
// would use it twice.
func TestUnreachableNodesKeepTheirPartOfLimits(t *testing.T) {
	records := []member.Record{
		{VM: "vm-1", Domain: "a", Status: member.Alive},
		{VM: "vm-2", Domain: "a", Status: member.Suspect},
		{VM: "vm-3", Domain: "b", Status: member.Dead},
		{VM: "vm-4", Domain: "b", Status: member.Left},
	}
	want := []quota.Node{{VM: "vm-1", Domain: "a"}, {VM: "vm-2", Domain: "a"}, {VM: "vm-3", Domain: "b"}}
	if got := quotaNodes(records); !slices.Equal(got, want) {
		t.Errorf("quotaNodes() = %v, want %v", got, want)
	}
}
