package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strconv"
	"time"

	"github.com/ansel1/merry/v2"

	"geraniumstep.org/geraniumstep/pkg/store"
)

// Prefix is where the store keeps the log.
const Prefix = "changes/"

// KeyOf is the key of one change; keys sort in the order of the log.
func KeyOf(sequence uint64) string { return fmt.Sprintf("%s%012d", Prefix, sequence) }

// SequenceOf reads the sequence from the key of a change.
func SequenceOf(key string) (uint64, error) {
	if len(key) <= len(Prefix) {
		return 0, fmt.Errorf("key %q is not the key of a change", key)
	}
	return strconv.ParseUint(key[len(Prefix):], 10, 64)
}

// ConflictError tells that another change to the same object went first.
type ConflictError struct{ winner Change }

// Winner is the change that went first.
func (e *ConflictError) Winner() Change { return e.winner }

// Error names the winner and the remedy.
func (e *ConflictError) Error() string {
	w := e.winner
	return fmt.Sprintf("%s %q was changed by %s in change %d; read it with 'geraniumstep get %s %s', then apply again",
		w.Kind, w.Name, w.Who, w.Sequence, w.Kind, w.Name)
}

// ErrUnresolved tells that the store stopped answering before it was known
// whether the change was accepted.
var ErrUnresolved = merry.New("store did not answer; the change may have been accepted, look for its ID with 'geraniumstep history'")

const resolveEvery = 100 * time.Millisecond

// Commit writes a change as the next of the log. It moves past changes to
// other objects that went first, refuses with a ConflictError if one changed
// the same object, and resolves lost replies by looking for the change's ID.
// It returns the change as accepted.
func Commit(ctx context.Context, st store.Store, log *Log, c Change) (Change, error) {
	for {
		if err := checkBase(log, &c); err != nil {
			return c, err
		}
		c.Sequence = log.State().Revision() + 1
		won, err := place(ctx, st, c)
		if err != nil {
			return c, err
		}
		log.Append(won)
		if won.ID == c.ID {
			return won, nil
		}
	}
}

// checkBase refuses a change whose object is not as its author saw it.
func checkBase(log *Log, c *Change) error {
	spec, revision, _ := log.State().Spec(c.Kind, c.Name)
	if revision != c.Base {
		return &ConflictError{winner: log.last(c.Kind, c.Name)}
	}
	c.Before = spec
	return nil
}

// place tries to write the change at its sequence and returns the change that
// holds the place in the end.
func place(ctx context.Context, st store.Store, c Change) (Change, error) {
	value, err := json.Marshal(c)
	if err != nil {
		return c, err
	}
	_, err = st.Put(ctx, KeyOf(c.Sequence), value, store.Absent)
	switch {
	case err == nil:
		return c, nil
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrUnavailable):
		return resolve(ctx, st, c, value)
	}
	return c, err
}

// resolve finds out who holds the place, writing again if nobody does.
func resolve(ctx context.Context, st store.Store, c Change, value []byte) (Change, error) {
	for {
		object, err := st.Get(ctx, KeyOf(c.Sequence))
		if err == nil {
			var holder Change
			err = json.Unmarshal(object.Value, &holder)
			return holder, err
		}
		if errors.Is(err, store.ErrNotFound) {
			if _, err = st.Put(ctx, KeyOf(c.Sequence), value, store.Absent); err == nil {
				return c, nil
			}
		}
		select {
		case <-ctx.Done():
			return c, merry.Wrap(ErrUnresolved, merry.WithCause(err))
		case <-time.After(resolveEvery):
		}
	}
}
