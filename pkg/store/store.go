// Package store is the platform's object API as the coordination parts see it:
// versioned objects, conditional writes, lists and watches.
package store

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxValueBytes is the size of the largest value that the platform holds.
const MaxValueBytes = 1 << 20

// The kinds of failure. Compare with errors.Is.
var (
	// ErrNotFound tells that there is no such object.
	ErrNotFound = merry.New("object not found in the platform's store")
	// ErrConflict tells that a conditional write lost: the object has
	// another version than the write asked for.
	ErrConflict = merry.New("object has changed since it was read; read it again")
	// ErrUnavailable tells that the store did not answer. A write may have
	// taken effect; read the object to find out.
	ErrUnavailable = merry.New("platform's store did not answer; a write may have taken effect")
	// ErrTooLarge tells that a value is over MaxValueBytes.
	ErrTooLarge = merry.New("value is over 1 MB; split it")
)

// Object is one stored object. Versions of all objects come from one counter,
// so a later write anywhere has a larger version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// VM is an entry of the platform's list of VMs, which lags.
type VM struct {
	Name    string `json:"name"`
	Domain  string `json:"domain"`
	Addr    string `json:"addr"`
	Role    string `json:"role"`
	Leaving bool   `json:"leaving"`
	Started int64  `json:"started"`
}

// The roles of VMs.
const (
	RoleEntry    = "entry"
	RoleUpstream = "upstream"
)

// Absent is the version to ask for when an object must not exist yet.
const Absent = 0

// Store reads and writes objects.
type Store interface {
	// Get reads one object.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object if its version is still the given one, Absent
	// for a new object, and returns the new version.
	Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
	// List reads at most limit objects whose key has the prefix and is
	// greater than after, in order of their keys.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Watch waits until an object with the prefix has a version above the
	// given one, or for the time given, and returns the changed objects in
	// order of their versions.
	Watch(ctx context.Context, prefix string, version uint64, wait time.Duration) ([]Object, error)
	// VMs reads the list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}
