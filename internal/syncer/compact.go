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

// snapshotHead identifies the newest stored snapshot. The snapshot is split into
// parts, because the store limits the size of a value.
type snapshotHead struct {
	Revision uint64 `json:"revision"`
	Parts    int    `json:"parts"`
}

// maxPartBytes is the maximum size of a part. It leaves a margin below
// store.MaxValueBytes.
const maxPartBytes = 900 << 10

func partKey(revision uint64, part int) string {
	return fmt.Sprintf("config/parts/%012d/%04d", revision, part)
}

// loadSnapshot restores the newest stored snapshot if it is newer than the
// configuration in effect.
func (s *Syncer) loadSnapshot(ctx context.Context) error {
	head, _, err := s.readHead(ctx)
	if errors.Is(err, store.ErrNotFound) || err == nil && head.Revision <= s.Config().Revision() {
		return nil
	}
	if err != nil {
		return err
	}
	var data []byte
	for part := range head.Parts {
		o, err := s.store.Get(ctx, partKey(head.Revision, part))
		if err != nil {
			return err
		}
		data = append(data, o.Value...)
	}
	var snap config.Snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return fmt.Errorf("snapshot %d cannot be decoded: %w", head.Revision, err)
	}
	s.snapshotRevision.Store(head.Revision)
	return s.conf.Restore(snap)
}

func (s *Syncer) readHead(ctx context.Context) (snapshotHead, uint64, error) {
	var head snapshotHead
	o, err := s.store.Get(ctx, snapshotKey)
	if err != nil {
		return head, store.Absent, err
	}
	err = json.Unmarshal(o.Value, &head)
	return head, o.Version, err
}

// compact stores a snapshot if enough changes have been applied since the last one
// and this node is the compactor.
func (s *Syncer) compact(ctx context.Context) {
	state := s.Config()
	if state.Revision() < s.snapshotRevision.Load()+changesPerSnapshot || !s.isCompactor() {
		return
	}
	if err := s.writeSnapshot(ctx, state); err != nil {
		s.log.Warnf("config: storing snapshot %d failed: %v.", state.Revision(), err)
		return
	}
	s.snapshotRevision.Store(state.Revision())
	s.log.Infof("config: stored snapshot %d.", state.Revision())
}

// isCompactor reports whether this node is the live member that stores snapshots.
func (s *Syncer) isCompactor() bool {
	var names []string
	for _, r := range s.node.View().Live() {
		names = append(names, r.VM)
	}
	return route.Owner("compact", names) == s.self.VM
}

// writeSnapshot stores the parts and then the head that refers to them, unless the
// stored head is as new or newer.
func (s *Syncer) writeSnapshot(ctx context.Context, state *config.State) error {
	head, version, err := s.readHead(ctx)
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
		size := min(len(data), maxPartBytes)
		_, err := s.store.Put(ctx, partKey(state.Revision(), parts), data[:size], store.Absent)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
		data = data[size:]
	}
	value, err := json.Marshal(snapshotHead{Revision: state.Revision(), Parts: parts})
	if err != nil {
		return err
	}
	_, err = s.store.Put(ctx, snapshotKey, value, version)
	return err
}
