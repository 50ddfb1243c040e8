// Package dedup makes a request with an idempotency key run at most once: it
// checks the key's age, remembers what became of every key in the window, and
// decides for each send whether to run it, to repeat the known outcome, or to
// refuse.
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

// ErrInvalidKey marks a key that cannot be used; its message names the remedy.
var ErrInvalidKey = merry.New("idempotency key not accepted")

const maxKeyLength = 200

// Key is a parsed idempotency key: a caller's UUIDv7, or a key that a node
// issued and only that process runs.
type Key struct {
	text    string
	born    time.Time
	issuer  string
	started int64
}

// ParseKey reads a key.
func ParseKey(text string) (Key, error) {
	if text == "" || len(text) > maxKeyLength {
		return Key{}, badKey("it has %d characters; send a UUIDv7 in the Idempotency-Key header", len(text))
	}
	k := Key{text: text}
	id := text
	if parts := strings.Split(text, "."); len(parts) == 3 {
		started, err := strconv.ParseInt(parts[1], 36, 64)
		if err != nil || parts[0] == "" {
			return Key{}, badKey("%q does not name its issuer; get a key with POST /v1/keys", text)
		}
		k.issuer, k.started, id = parts[0], started, parts[2]
	}
	u, err := uuid.Parse(id)
	if err != nil || u.Version() != 7 {
		return Key{}, badKey("%q is not a UUIDv7 (RFC 9562); make one, or get a key with POST /v1/keys", text)
	}
	sec, nsec := u.Time().UnixTime()
	k.born = time.Unix(sec, nsec)
	return k, nil
}

// NewKey makes a caller's key from a time and a number that must differ between
// keys of the same millisecond, for those who bring their own clock.
func NewKey(born time.Time, serial uint64) Key {
	var u uuid.UUID
	binary.BigEndian.PutUint64(u[:8], uint64(born.UnixMilli())<<16)
	u[6] = 0x70 // version 7
	binary.BigEndian.PutUint64(u[8:], serial)
	u[8] = u[8]&0x3f | 0x80 // variant of RFC 9562
	return Key{text: u.String(), born: born.Truncate(time.Millisecond)}
}

// Issue makes a key that only the given process runs.
func Issue(vm string, started int64) (Key, error) {
	u, err := uuid.NewV7()
	if err != nil {
		return Key{}, err
	}
	return ParseKey(vm + "." + strconv.FormatInt(started, 36) + "." + u.String())
}

// String is the key as callers write it.
func (k Key) String() string { return k.text }

// Created is when the key was made, by the clock of its maker.
func (k Key) Created() time.Time { return k.born }

// Issuer names the process that issued the key. The VM is empty for a key that
// a caller made.
func (k Key) Issuer() (vm string, started int64) { return k.issuer, k.started }

// Slot is the key's place in a key space of n slots.
func (k Key) Slot(n int) int { return int(xxhash.Sum64String(k.text) % uint64(n)) }

func badKey(format string, args ...any) error {
	return merry.Prepend(ErrInvalidKey, fmt.Sprintf(format, args...))
}
