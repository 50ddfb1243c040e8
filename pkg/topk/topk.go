// Package topk merges opaque bodies of fixed-size records into the greatest k
// records, greatest first, compared byte by byte. Equal records all count.
// Merging is associative: the merge of merges is the merge of all bodies, so a
// part of the shards can be merged elsewhere.
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

// Merger collects bodies. It is not safe for concurrent use.
type Merger struct {
	k       int
	records [][]byte
}

// New returns a Merger that keeps the greatest k records.
func New(k int) *Merger { return &Merger{k: k} }

// Add takes the records of a body. A remainder shorter than a record is none.
// The body must not change until Bytes has been called.
func (m *Merger) Add(body []byte) {
	for len(body) >= RecordBytes {
		m.records = append(m.records, body[:RecordBytes:RecordBytes])
		body = body[RecordBytes:]
	}
}

// Bytes gives the greatest k records, greatest first.
func (m *Merger) Bytes() []byte {
	slices.SortFunc(m.records, func(a, b []byte) int { return bytes.Compare(b, a) })
	kept := m.records[:min(m.k, len(m.records))]
	return bytes.Join(kept, nil)
}
