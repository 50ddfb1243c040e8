package syncer

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/route"
	"geraniumstep.org/geraniumstep/pkg/store"
)

// snapshotHead names the newest stored snapshot. Its value is cut into parts
// that stay below the store's largest value.
type snapshotHead struct {
	Revision uint64 `json:"revision"`
	Parts    int    `json:"parts"`
}

// partBytes leaves room below store.MaxValueBytes.
const partBytes = 900 << 10

func partKey(revision uint64, part int) string {
	return fmt.Sprintf("config/parts/%012d/%04d", revision, part)
}

// loadSnapshot starts from the newest stored snapshot, if there is one.
func (k *Syncer) loadSnapshot(ctx context.Context) error {
	head, _, err := k.head(ctx)
	if errors.Is(err, store.ErrNotFound) || err == nil && head.Revision <= k.Config().Revision() {
		return nil
	}
	if err != nil {
		return err
	}
	var data []byte
	for part := range head.Parts {
		o, err := k.store.Get(ctx, partKey(head.Revision, part))
		if err != nil {
			return err
		}
		data = append(data, o.Value...)
	}
	var snap config.Snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("snapshot %d is not readable: %w", head.Revision, err)
	}
	k.snapshot.Store(head.Revision)
	return k.conf.Restore(snap)
}

func (k *Syncer) head(ctx context.Context) (snapshotHead, uint64, error) {
	var head snapshotHead
	o, err := k.store.Get(ctx, snapshotKey)
	if err != nil {
		return head, store.Absent, err
	}
	err = json.Unmarshal(o.Value, &head)
	return head, o.Version, err
}

// compact stores a snapshot when enough changes have passed and this node is
// the one to do it.
func (k *Syncer) compact(ctx context.Context) {
	state := k.Config()
	if state.Revision() < k.snapshot.Load()+compactEvery || !k.compacts() {
		return
	}
	if err := k.writeSnapshot(ctx, state); err != nil {
		k.log.Warnf("config: snapshot %d was not stored: %v.", state.Revision(), err)
		return
	}
	k.snapshot.Store(state.Revision())
	k.log.Infof("config: stored snapshot %d.", state.Revision())
}

func (k *Syncer) compacts() bool {
	var names []string
	for _, r := range k.node.View().Live() {
		names = append(names, r.VM)
	}
	return route.Owner("compact", names) == k.self.VM
}

// writeSnapshot stores the parts and then the head that names them, unless a
// newer head is there.
func (k *Syncer) writeSnapshot(ctx context.Context, state *config.State) error {
	head, version, err := k.head(ctx)
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		return err
	}
	if head.Revision >= state.Revision() {
		return nil
	}
	data, err := json.Marshal(state.Snapshot())
	if err != nil {
		return err
	}
	parts := 0
	for ; len(data) > 0; parts++ {
		size := min(len(data), partBytes)
		_, err := k.store.Put(ctx, partKey(state.Revision(), parts), data[:size], store.Absent)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
		data = data[size:]
	}
	value, err := json.Marshal(snapshotHead{Revision: state.Revision(), Parts: parts})
	if err != nil {
		return err
	}
	_, err = k.store.Put(ctx, snapshotKey, value, version)
	return err
}
