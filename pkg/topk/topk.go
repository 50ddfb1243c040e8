// Package topk merges reply bodies, each a sequence of fixed-size opaque records, into
// the k greatest records in descending byte order. Duplicates are kept. The merge is
// associative, so another node can merge the replies of some of the shards.
//
//	m := topk.New(50)
//	m.Add(body)
//	answer := m.Bytes()
package topk

import (
	"bytes"
	"slices"
)

// RecordBytes is the size of one record.
const RecordBytes = 16

// Merger collects the records of bodies. It is not safe for concurrent use.
type Merger struct {
	k       int
	records [][]byte
}

// New returns a Merger for the k greatest records.
func New(k int) *Merger { return &Merger{k: k} }

// Add adds the records of a body. Trailing bytes shorter than a record are ignored.
// The body must not be modified before Bytes is called.
func (m *Merger) Add(body []byte) {
	for len(body) >= RecordBytes {
		m.records = append(m.records, body[:RecordBytes:RecordBytes])
		body = body[RecordBytes:]
	}
}

// Bytes returns the k greatest records in descending order.
func (m *Merger) Bytes() []byte {
	slices.SortFunc(m.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	kept := m.records[:min(m.k, len(m.records))]
	return bytes.Join(kept, nil)
}
