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

// Prefix is the prefix of the log's keys in the store.
const Prefix = "changes/"

// KeyOf returns the key of one change. The keys sort in the order of the log.
func KeyOf(sequence uint64) string { return fmt.Sprintf("%s%012d", Prefix, sequence) }

// SequenceOf parses the sequence from the key of a change.
func SequenceOf(key string) (uint64, error) {
	if len(key) <= len(Prefix) {
		return 0, fmt.Errorf("key %q is not the key of a change", key)
	}
	return strconv.ParseUint(key[len(Prefix):], 10, 64)
}

// ConflictError is returned when another change to the same object was accepted
// first.
type ConflictError struct{ winner Change }

// Winner returns the change that was accepted first.
func (e *ConflictError) Winner() Change { return e.winner }

// Error describes the winner and the remedy.
func (e *ConflictError) Error() string {
	w := e.winner
	return fmt.Sprintf("%s %q was changed by %s in change %d; read it with 'geraniumstep get %s %s', then apply again",
		w.Kind, w.Name, w.Who, w.Sequence, w.Kind, w.Name)
}

// ErrUnresolved is returned when the store stopped answering before the outcome of
// the change was known.
var ErrUnresolved = merry.New("store did not answer; the change may have been accepted, look for its ID with 'geraniumstep history'")

const resolveInterval = 100 * time.Millisecond

// Commit appends a change to the log. If another change takes the sequence first,
// Commit tries the next one, or returns a ConflictError if that change was to the
// same object. It resolves lost replies by comparing the change's ID with the
// stored one. It returns the change as accepted.
func Commit(ctx context.Context, st store.Store, log *Log, c Change) (Change, error) {
	for {
		if err := checkBase(log, &c); err != nil {
			return c, err
		}
		c.Sequence = log.State().Revision() + 1
		accepted, err := write(ctx, st, c)
		if err != nil {
			return c, err
		}
		log.Append(accepted)
		if accepted.ID == c.ID {
			return accepted, nil
		}
	}
}

// checkBase rejects a change whose object has changed since the author read it.
func checkBase(log *Log, c *Change) error {
	spec, revision, _ := log.State().Spec(c.Kind, c.Name)
	if revision != c.Base {
		return &ConflictError{winner: log.lastChange(c.Kind, c.Name)}
	}
	c.Before = spec
	return nil
}

// write tries to write the change at its sequence and returns the change that
// is stored there, which may be another one.
func write(ctx context.Context, st store.Store, c Change) (Change, error) {
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

// resolve reads the change that is stored at the sequence, and writes c again if
// there is none.
func resolve(ctx context.Context, st store.Store, c Change, value []byte) (Change, error) {
	for {
		object, err := st.Get(ctx, KeyOf(c.Sequence))
		if err == nil {
			var current Change
			err = json.Unmarshal(object.Value, &current)
			return current, err
		}
		if errors.Is(err, store.ErrNotFound) {
			if _, err = st.Put(ctx, KeyOf(c.Sequence), value, store.Absent); err == nil {
				return c, nil
			}
		}
		select {
		case <-ctx.Done():
			return c, merry.Wrap(ErrUnresolved, merry.WithCause(err))
		case <-time.After(resolveInterval):
		}
	}
}
