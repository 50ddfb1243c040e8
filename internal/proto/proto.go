// Package proto holds the messages of a relayed request: what a caller asks, what
// it gets, and what an upstream is told and says. How these are written as headers
// is a Dialect's matter.
package proto

import (
	"net/http"
	"time"
)

// Request is one relayed request as the caller sent it.
type Request struct {
	// ID identifies the caller's attempt; each attempt has its own.
	ID string
	// Remaining is how long the caller waits, or 0 if it did not say.
	Remaining time.Duration
	Method    string
	Host      string
	// Target is the path and query, byte for byte.
	Target string
	Path   string
	Header http.Header
	Body   []byte
	// Arrived is when the request had been read.
	Arrived time.Time
}

// Answer is the end of a request: Relayed, Merged, Refused, Unknown, NoRoute,
// Invalid or Abandoned.
type Answer interface{ answer() }

// Relayed passes on an upstream's answer.
type Relayed struct {
	Status int
	Header http.Header
	Body   []byte
}

// Merged joins the parts of several shards.
type Merged struct {
	Body []byte
	// Proofs holds the upstream's proof of each part, Missing counts the
	// shards that are left out.
	Proofs  []string
	Missing int
}

// Refused promises that the request has not run and never will.
type Refused struct {
	Reason     string
	RetryAfter time.Duration
}

// Unknown tells that the request may have run.
type Unknown struct {
	Reason  string
	Expired bool
}

// NoRoute tells that no route matches.
type NoRoute struct{}

// Invalid tells what is wrong with the request.
type Invalid struct {
	Status int
	Reason string
}

// Abandoned tells that the caller has gone.
type Abandoned struct{}

func (Relayed) answer()   {}
func (Merged) answer()    {}
func (Refused) answer()   {}
func (Unknown) answer()   {}
func (NoRoute) answer()   {}
func (Invalid) answer()   {}
func (Abandoned) answer() {}

// Call is what an upstream is told beside the request itself.
type Call struct {
	// Upstream is the id that the receiver must have to run the request.
	Upstream string
	// Remaining is how long the upstream may work on it.
	Remaining time.Duration
}

// Reply is what an upstream's headers say.
type Reply struct {
	// RequestID is the id that the upstream echoes, or empty.
	RequestID string
	// Proof shows that the upstream made the answer, or is empty.
	Proof string
	// NotRun proves that the upstream did not run the request.
	NotRun bool
	// Moved tells that another upstream has the address.
	Moved bool
	// HasLoad tells that Running and Waiting hold the upstream's load.
	HasLoad          bool
	Running, Waiting int
}

// Dialect names the headers of callers and upstreams.
type Dialect interface {
	// ReadCaller finds a request's id and how long the caller waits.
	ReadCaller(h http.Header) (id string, remaining time.Duration)
	// WriteMerged sets the headers of a merged answer.
	WriteMerged(h http.Header, proofs []string, missing int)
	// WriteCall sets the headers of a request to an upstream.
	WriteCall(h http.Header, c Call)
	// ReadReply decodes the headers of an upstream's answer.
	ReadReply(status int, h http.Header) Reply
	// Private lists the headers of an upstream that are not for callers.
	Private() []string
}

// Kind is the kind of an answer, for logs and metrics.
func Kind(a Answer) string {
	switch a.(type) {
	case Relayed:
		return "relayed"
	case Merged:
		return "merged"
	case Refused:
		return "refused"
	case Unknown:
		return "unknown"
	case NoRoute:
		return "no_route"
	case Invalid:
		return "invalid"
	}
	return "abandoned"
}
