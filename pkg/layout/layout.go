// Package layout describes the placement of archives: a Catalogue is a consistent
// snapshot of every archive's index version, its shards and the upstreams that
// hold a replica of each shard. A Catalogue is immutable, and a search pins its
// snapshot by keeping one pointer to a Catalogue from admission to answer:
//
//	c, err := layout.New(spec)
//	a, ok := c.Archive("seats")
//	fmt.Println(c.Revision(), a.Version(), len(a.Shards()))
package layout

import (
	"fmt"
	"sort"
)

// Spec is the stored form of a Catalogue.
type Spec struct {
	Revision  uint64         `json:"revision" msgpack:"r"`
	Archives  []ArchiveSpec  `json:"archives" msgpack:"a"`
	Upstreams []UpstreamSpec `json:"upstreams" msgpack:"u"`
}

// ArchiveSpec is the stored form of an Archive. Shards lists, for each shard
// number, the identifiers of the upstreams that hold a replica.
type ArchiveSpec struct {
	Name    string     `json:"name" msgpack:"n"`
	Version uint64     `json:"version" msgpack:"v"`
	Shards  [][]string `json:"shards" msgpack:"s"`
}

// UpstreamSpec is the stored form of an Upstream. Slots is the number of requests
// that it runs at once, and Conns the number of connections that it accepts.
type UpstreamSpec struct {
	ID     string `json:"id" msgpack:"i"`
	Addr   string `json:"addr" msgpack:"a"`
	Domain string `json:"domain" msgpack:"d"`
	Slots  int    `json:"slots" msgpack:"s"`
	Conns  int    `json:"conns" msgpack:"c"`
}

// Catalogue is an immutable snapshot of all archives and upstreams.
type Catalogue struct {
	spec      Spec
	archives  map[string]*Archive
	upstreams map[string]*Upstream
}

// Archive is an archive at one index version.
type Archive struct {
	name    string
	version uint64
	shards  []Shard
}

// Shard is one part of an archive.
type Shard struct {
	replicas []*Upstream
}

// Upstream is one back-end server.
type Upstream struct {
	spec UpstreamSpec
}

// New validates a stored catalogue and returns its snapshot.
func New(spec Spec) (*Catalogue, error) {
	c := &Catalogue{
		spec:      spec,
		archives:  make(map[string]*Archive, len(spec.Archives)),
		upstreams: make(map[string]*Upstream, len(spec.Upstreams)),
	}
	for _, u := range spec.Upstreams {
		if u.Slots < 1 || u.Conns < 1 {
			return nil, fmt.Errorf("catalogue %d: upstream %q has %d slots and %d connections; both must be at least 1", spec.Revision, u.ID, u.Slots, u.Conns)
		}
		c.upstreams[u.ID] = &Upstream{spec: u}
	}
	for _, a := range spec.Archives {
		archive, err := c.newArchive(a)
		if err != nil {
			return nil, err
		}
		c.archives[a.Name] = archive
	}
	return c, nil
}

func (c *Catalogue) newArchive(spec ArchiveSpec) (*Archive, error) {
	a := &Archive{name: spec.Name, version: spec.Version, shards: make([]Shard, len(spec.Shards))}
	for i, ids := range spec.Shards {
		if len(ids) == 0 {
			return nil, fmt.Errorf("catalogue %d: shard %d of archive %q has no replica; name at least one upstream", c.spec.Revision, i, spec.Name)
		}
		for _, id := range ids {
			u, ok := c.upstreams[id]
			if !ok {
				return nil, fmt.Errorf("catalogue %d: shard %d of archive %q names unknown upstream %q; add it to the upstreams", c.spec.Revision, i, spec.Name, id)
			}
			a.shards[i].replicas = append(a.shards[i].replicas, u)
		}
	}
	return a, nil
}

// Revision returns the revision of the catalogue. Later catalogues have higher
// revisions.
func (c *Catalogue) Revision() uint64 { return c.spec.Revision }

// Spec returns the stored form. The caller must not modify its slices.
func (c *Catalogue) Spec() Spec { return c.spec }

// Archive returns the archive with the given name.
func (c *Catalogue) Archive(name string) (*Archive, bool) {
	a, ok := c.archives[name]
	return a, ok
}

// Upstream returns the upstream with the given identifier.
func (c *Catalogue) Upstream(id string) (*Upstream, bool) {
	u, ok := c.upstreams[id]
	return u, ok
}

// Upstreams returns all upstreams, ordered by identifier.
func (c *Catalogue) Upstreams() []*Upstream {
	all := make([]*Upstream, 0, len(c.upstreams))
	for _, u := range c.upstreams {
		all = append(all, u)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID() < all[j].ID() })
	return all
}

// Name returns the name of the archive.
func (a *Archive) Name() string { return a.name }

// Version returns the index version that the catalogue pins.
func (a *Archive) Version() uint64 { return a.version }

// Shards returns the shards, indexed by shard number.
func (a *Archive) Shards() []Shard { return a.shards }

// Replicas returns the upstreams that hold a replica of the shard.
func (s Shard) Replicas() []*Upstream { return s.replicas }

// ID returns the identifier of the upstream, unique among all upstreams.
func (u *Upstream) ID() string { return u.spec.ID }

// Addr returns the IP address and port of the upstream.
func (u *Upstream) Addr() string { return u.spec.Addr }

// Domain returns the failure domain in which the upstream runs.
func (u *Upstream) Domain() string { return u.spec.Domain }

// Slots returns the number of requests that the upstream runs at once.
func (u *Upstream) Slots() int { return u.spec.Slots }

// Conns returns the number of connections that the upstream accepts.
func (u *Upstream) Conns() int { return u.spec.Conns }
