// Package dedup runs a request with an idempotency key at most once. It checks the
// key's age, records the outcome of every key in the window, and decides for each
// send whether to run it, to replay the recorded outcome, or to reject it:
//
//	t := dedup.NewTable()
//	switch d := t.Begin(key, since, mayRun, first).(type) {
//	case dedup.Run: // run the request, then t.End(key, outcome)
//	case dedup.Wait: // wait for d.Done, then t.Outcome(key)
//	case dedup.Replay: // return d.Outcome
//	case dedup.Refuse: // return d.Status and d.Reason
//	}
package dedup

import (
	"encoding/binary"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/ansel1/merry/v2"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
)

// ErrInvalidKey is returned for a key that cannot be used. The message states the
// remedy.
var ErrInvalidKey = merry.New("idempotency key not accepted")

const maxKeyLength = 200

// Key is a parsed idempotency key: a caller's UUIDv7, or a key issued by a node.
// Only the process that issued a key runs requests with it.
type Key struct {
	text    string
	created time.Time
	issuer  string
	started int64
}

// ParseKey parses a key.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > maxKeyLength {
		return Key{}, invalidKey("it has %d characters; send a UUIDv7 in the Idempotency-Key header", len(text))
	}
	k := Key{text: text}
	id := text
	if parts := strings.Split(text, "."); len(parts) == 3 {
		started, err := strconv.ParseInt(parts[1], 36, 64)
		if err != nil || parts[0] == "" {
			return Key{}, invalidKey("%q does not name its issuer; get a key with POST /v1/keys", text)
		}
		k.issuer, k.started, id = parts[0], started, parts[2]
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return Key{}, invalidKey("%q is not a UUIDv7 (RFC 9562); make one, or get a key with POST /v1/keys", text)
	}
	sec, nsec := u.Time().UnixTime()
	k.created = time.Unix(sec, nsec)
	return k, nil
}

// NewKey returns a caller's key for a creation time and a serial number, which must
// differ between keys of the same millisecond. It is for callers that use their
// own clock.
func NewKey(created time.Time, serial uint64) Key {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(created.UnixMilli())<<16)
	u[6] = 0x70 // version 7
	binary.BigEndian.PutUint64(u[8:], serial)
	u[8] = u[8]&0x3f | 0x80 // variant of RFC 9562
	return Key{text: u.String(), created: created.Truncate(time.Millisecond)}
}

// Issue returns a new key for a request that only the given process runs.
func Issue(vm string, started int64) (Key, error) {
	u, err := uuid.NewV7()
	if err != nil {
		return Key{}, err
	}
	return ParseKey(vm + "." + strconv.FormatInt(started, 36) + "." + u.String())
}

// String returns the key as callers write it.
func (k Key) String() string { return k.text }

// Created returns the time at which the key was created, by its creator's clock.
func (k Key) Created() time.Time { return k.created }

// Issuer returns the process that issued the key. The VM is empty for a key that
// a caller created.
func (k Key) Issuer() (vm string, started int64) { return k.issuer, k.started }

// Slot returns the key's slot in a key space of n slots.
func (k Key) Slot(n int) int { return int(xxhash.Sum64String(k.text) % uint64(n)) }

func invalidKey(format string, args ...any) error {
	return merry.Prepend(ErrInvalidKey, fmt.Sprintf(format, args...))
}
