// Package access maps the keys of callers to workspaces. A Directory is immutable and part
// of one version of the configuration. It holds hashes of the keys and never the keys
// themselves.
//
//	d := access.New(workspaces)
//	w, ok := d.Lookup(key)
package access

import (
	"crypto/sha256"
	"encoding/hex"

	"github.com/ansel1/merry/v2"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

// Hash identifies a key without revealing it.
type Hash [sha256.Size]byte

// HashOf returns the hash of a key.
func HashOf(key string) Hash { return sha256.Sum256([]byte(key)) }

// String returns the hash in hexadecimal, as ParseHash reads it.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// ErrHash is the error, in the sense of errors.Is, for text that is not the hash of a key.
var ErrHash = merry.New("not the hash of a key; write the SHA-256 of the key as 64 hexadecimal digits")

// ParseHash is the inverse of Hash.String.
func ParseHash(text string) (Hash, error) {
	var h Hash
	if len(text) != hex.EncodedLen(len(h)) {
		return h, ErrHash
	}
	if _, err := hex.Decode(h[:], []byte(text)); err != nil {
		return h, ErrHash
	}
	return h, nil
}

// Workspace is a customer whose callers share keys, a priority, an allotment and homes.
type Workspace struct {
	name      string
	keys      []Hash
	priority  prio.Priority
	ranked    bool
	allotment Allotment
	homes     Homes
}

// Allotment is the rate of requests that a workspace may send through all nodes together, and
// how many it may send at once. A rate of 0 means that there is no limit.
type Allotment struct {
	// Rate is in requests per second, Burst in requests.
	Rate, Burst float64
}

// Limited reports whether the allotment limits the requests.
func (a Allotment) Limited() bool { return a.Rate > 0 }

// Option configures a Workspace at construction.
type Option func(*Workspace)

// WithPriority sets the priority of all requests of the workspace. By default that of the
// route counts.
func WithPriority(p prio.Priority) Option {
	return func(w *Workspace) { w.priority, w.ranked = p, true }
}

// WithAllotment sets the allotment. The default is no limit.
func WithAllotment(a Allotment) Option { return func(w *Workspace) { w.allotment = a } }

// WithHomes sets the regions in which requests may be served. The default is all regions.
func WithHomes(h Homes) Option { return func(w *Workspace) { w.homes = h } }

// NewWorkspace returns a workspace whose callers hold the keys with the given hashes.
func NewWorkspace(name string, keys []Hash, opts ...Option) *Workspace {
	w := &Workspace{name: name, keys: keys}
	for _, opt := range opts {
		opt(w)
	}
	return w
}

// Name returns the name of the workspace, or "" for the nil Workspace of a request without a
// key.
func (w *Workspace) Name() string {
	if w == nil {
		return ""
	}
	return w.name
}

// Priority returns the priority of the workspace's requests. It returns false if the priority
// of the route counts.
func (w *Workspace) Priority() (prio.Priority, bool) { return w.priority, w.ranked }

// Allotment returns the allotment.
func (w *Workspace) Allotment() Allotment { return w.allotment }

// Homes returns the regions in which requests may be served.
func (w *Workspace) Homes() Homes { return w.homes }

// Directory holds the workspaces of one version of the configuration. The nil Directory
// belongs to a configuration that has none, whose requests need no key.
type Directory struct {
	byKey  map[Hash]*Workspace
	byName map[string]*Workspace
}

// New returns the directory of the workspaces. If several hold the same key, no caller can be
// told apart by it, and it is in none.
func New(workspaces []*Workspace) *Directory {
	d := &Directory{byKey: make(map[Hash]*Workspace), byName: make(map[string]*Workspace, len(workspaces))}
	shared := make(map[Hash]bool)
	for _, w := range workspaces {
		d.byName[w.name] = w
		for _, k := range w.keys {
			if other, ok := d.byKey[k]; ok && other != w {
				shared[k] = true
			}
			d.byKey[k] = w
		}
	}
	for k := range shared {
		delete(d.byKey, k)
	}
	return d
}

// Lookup returns the workspace that holds the key. The time it takes depends on the hash of
// the key alone, so it reveals nothing about the keys that exist.
func (d *Directory) Lookup(key string) (*Workspace, bool) {
	if d == nil || key == "" {
		return nil, false
	}
	w, ok := d.byKey[HashOf(key)]
	return w, ok
}

// Workspace returns the workspace of the name.
func (d *Directory) Workspace(name string) (*Workspace, bool) {
	if d == nil {
		return nil, false
	}
	w, ok := d.byName[name]
	return w, ok
}

// Limited returns the allotments of the workspaces that have a limit, by name.
func (d *Directory) Limited() map[string]Allotment {
	limited := make(map[string]Allotment)
	if d == nil {
		return limited
	}
	for name, w := range d.byName {
		if w.allotment.Limited() {
			limited[name] = w.allotment
		}
	}
	return limited
}

// Len returns the number of workspaces.
func (d *Directory) Len() int {
	if d == nil {
		return 0
	}
	return len(d.byName)
}
