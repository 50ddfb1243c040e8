// Package store defines the interface to the platform's object API that the
// coordination packages use: versioned objects, conditional writes, lists and
// watches. It also defines the errors that implementations return:
//
//	o, err := st.Get(ctx, key)
//	if errors.Is(err, store.ErrNotFound) { … }
package store

import (
	"context"
	"time"

	"github.com/ansel1/merry/v2"
)

// MaxValueBytes is the maximum size of a value that the platform stores.
const MaxValueBytes = 1 << 20

// The errors of a Store. Compare with errors.Is.
var (
	// ErrNotFound is returned when there is no such object.
	ErrNotFound = merry.New("object not found in the platform's store")
	// ErrConflict is returned when a conditional write fails because the
	// object's version is not the given one.
	ErrConflict = merry.New("object has changed since it was read; read it again")
	// ErrUnavailable is returned when the store did not answer. A write may
	// have taken effect; the caller has to read the object to find out.
	ErrUnavailable = merry.New("platform's store did not answer; a write may have taken effect")
	// ErrTooLarge is returned when a value is larger than MaxValueBytes.
	ErrTooLarge = merry.New("value is over 1 MB; split it")
)

// Object is one stored object. All objects share one version counter, so a later
// write of any object has a larger version.
type Object struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
	Value   []byte `json:"value"`
}

// VM is an entry of the platform's list of VMs, which may be out of date.
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

// Absent is the version to give to Put when the object must not exist yet.
const Absent = 0

// Store reads and writes objects.
type Store interface {
	// Get returns one object.
	Get(ctx context.Context, key string) (Object, error)
	// Put writes an object if its version is still the given one, or Absent
	// for a new object, and returns the new version.
	Put(ctx context.Context, key string, value []byte, version uint64) (uint64, error)
	// List returns at most limit objects whose key has the prefix and is
	// greater than after, ordered by key.
	List(ctx context.Context, prefix, after string, limit int) ([]Object, error)
	// Watch waits until an object with the prefix has a version above the
	// given one or the wait time has passed, and returns the changed objects
	// ordered by version.
	Watch(ctx context.Context, prefix string, version uint64, wait time.Duration) ([]Object, error)
	// VMs returns the platform's list of VMs.
	VMs(ctx context.Context) ([]VM, error)
}
