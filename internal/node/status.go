package node

import (
	"context"
	"encoding/json"
	"sort"

	"geraniumstep.org/geraniumstep/internal/peer"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/store"
)

// Status is the state of a node as shown to operators.
type Status struct {
	VM        string          `json:"vm"`
	Domain    string          `json:"failure_domain"`
	State     string          `json:"state"`
	Started   int64           `json:"started"`
	Config    uint64          `json:"config_revision"`
	Catalogue uint64          `json:"catalogue_revision"`
	FromStore bool            `json:"config_from_store"`
	Slots     int             `json:"slots_owned"`
	Keys      int             `json:"keys_remembered"`
	Members   []member.Record `json:"-"`
}

// Status returns the current state of the node.
func (n *Node) Status() Status {
	records, _ := n.members.snapshot()
	return Status{
		VM: n.settings.VM, Domain: n.settings.FailureDomain, State: n.State().String(), Started: n.Started(),
		Config: n.Config().Revision(), Catalogue: n.Catalogue().Revision(), FromStore: n.syncer.FromStore(),
		Slots: n.submissions.SlotsOwned(), Keys: n.submissions.KeyCount(), Members: records,
	}
}

// Commit appends a change of the configuration to the change log.
func (n *Node) Commit(ctx context.Context, c config.Change) (config.Change, error) {
	return n.syncer.Commit(ctx, c)
}

// History returns the changes after a sequence number from the store, oldest first.
func (n *Node) History(ctx context.Context, after uint64, limit int) ([]config.Change, error) {
	return ReadHistory(ctx, n.store, after, limit)
}

// ReadHistory returns the changes after a sequence number from a store, oldest
// first.
func ReadHistory(ctx context.Context, st store.Store, after uint64, limit int) ([]config.Change, error) {
	objects, err := st.List(ctx, config.Prefix, config.KeyOf(after), limit)
	if err != nil {
		return nil, err
	}
	changes := make([]config.Change, len(objects))
	for i, o := range objects {
		if err := json.Unmarshal(o.Value, &changes[i]); err != nil {
			return nil, err
		}
	}
	return changes, nil
}

// PeerStatus requests the revisions in effect on every member that is neither dead
// nor has left according to this node's records. Members that do not answer are
// listed without revisions.
func (n *Node) PeerStatus(ctx context.Context) []PeerStatus {
	records, _ := n.members.snapshot()
	list := make([]PeerStatus, 0, len(records))
	done := make(chan PeerStatus)
	queried := 0
	for _, r := range records {
		if r.Status >= member.Dead {
			continue
		}
		queried++
		n.spawn(func() { done <- n.queryPeer(ctx, r) })
	}
	for range queried {
		list = append(list, <-done)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].VM < list[j].VM })
	return list
}

// PeerStatus is the state of one member: its record on this node and, if it is
// reachable, the revisions that it has in effect.
type PeerStatus struct {
	VM        string `json:"vm"`
	Domain    string `json:"failure_domain"`
	Status    string `json:"status"`
	Ready     bool   `json:"ready"`
	Reachable bool   `json:"reachable"`
	Config    uint64 `json:"config_revision"`
	Catalogue uint64 `json:"catalogue_revision"`
}

func (n *Node) queryPeer(ctx context.Context, r member.Record) PeerStatus {
	p := PeerStatus{VM: r.VM, Domain: r.Domain, Status: r.Status.String(), Ready: r.Ready}
	have := n.syncer.Versions()
	if r.VM != n.settings.VM {
		var reply peer.VersionsReply
		ctx, cancel := context.WithTimeout(ctx, viewsTimeout)
		defer cancel()
		if err := n.peers.Call(ctx, r.Addr, peer.MethodVersions, &peer.None{}, &reply); err != nil {
			return p
		}
		have = reply.Have
	}
	p.Reachable, p.Config, p.Catalogue = true, have.Config, have.Catalogue
	return p
}

// LiveMembers returns the number of members that are alive and ready in this node's
// view.
func (n *Node) LiveMembers() int { return n.view.Load().ReadyCount() }
