// Package proto defines the messages of a relayed request: the caller's request, its
// answer, and the values exchanged with an upstream. A Dialect maps them to HTTP
// headers.
package proto

import (
	"net/http"
	"time"

	"geraniumstep.org/geraniumstep/internal/memory"
	"geraniumstep.org/geraniumstep/pkg/advice"
	"geraniumstep.org/geraniumstep/pkg/quota"
)

// Request is a request as received from the caller.
type Request struct {
	// ID identifies the caller's attempt. Each attempt has its own ID.
	ID string
	// Caller identifies the caller across its attempts and connections.
	Caller string
	// Remaining is how long the caller waits, or 0 if it sent no limit.
	Remaining time.Duration
	Method    string
	Host      string
	// Target is the path and query exactly as received.
	Target string
	Path   string
	Header http.Header
	Body   []byte
	// Memory holds the reservations for the messages of the request. It may be nil.
	Memory *memory.Account
	// Arrived is the time at which the request had been read completely.
	Arrived time.Time
}

// Answer is the result of a request: Relayed, Merged, Refused, Limited, Unknown, NoRoute,
// Invalid or Abandoned.
type Answer interface{ answer() }

// Relayed is the forwarded response of an upstream.
type Relayed struct {
	Status int
	Header http.Header
	Body   []byte
}

// Merged holds the merged responses of several shards.
type Merged struct {
	Body []byte
	// Proofs holds the upstream's proof for each merged response. Missing is
	// the number of shards without a response.
	Proofs  []string
	Missing int
}

// Refused states that the request has not run and will not run.
type Refused struct {
	Reason     string
	RetryAfter time.Duration
}

// Unknown states that the request may have run.
type Unknown struct {
	Reason  string
	Expired bool
}

// Limited states that the request exceeds the allotment of its workspace. It has not run and
// will not run.
type Limited struct {
	RetryAfter time.Duration
}

// NoRoute states that no route matches the request.
type NoRoute struct{}

// Invalid states why the request is invalid.
type Invalid struct {
	Status int
	Reason string
}

// Abandoned means that the caller disconnected, so that no answer is sent.
type Abandoned struct{}

func (Relayed) answer()   {}
func (Merged) answer()    {}
func (Refused) answer()   {}
func (Unknown) answer()   {}
func (Limited) answer()   {}
func (NoRoute) answer()   {}
func (Invalid) answer()   {}
func (Abandoned) answer() {}

// Call holds the values that are sent to an upstream in addition to the request.
type Call struct {
	// Upstream is the ID that the receiver must have to run the request.
	Upstream string
	// Remaining is how long the upstream may work on the request.
	Remaining time.Duration
}

// Reply holds the values decoded from the headers of an upstream's response.
type Reply struct {
	// RequestID is the request ID that the upstream echoes, or empty.
	RequestID string
	// Proof shows that the upstream itself made the response, or is empty.
	Proof string
	// NotRun proves that the upstream did not run the request.
	NotRun bool
	// Upstream is the ID of the upstream that responded, or empty.
	Upstream string
	// Moved reports that another upstream uses the address.
	Moved bool
	// HasLoad reports whether Running and Waiting hold the upstream's load.
	HasLoad          bool
	Running, Waiting int
	// Pace is how long work takes at the upstream now, as a multiple of the usual time: 1
	// is usual, and 0 means that the upstream does not state it.
	Pace float64
	// HasCold reports whether ColdFor holds for how long the upstream is still cold.
	HasCold bool
	ColdFor time.Duration
	// Limit is the rate of requests that the upstream accepts from all nodes.
	Limit quota.Limit
	// Advice is what the upstream says of itself.
	Advice advice.Advice
}

// Dialect reads and writes the headers of callers and upstreams.
type Dialect interface {
	// ReadCaller returns a request's ID and how long the caller waits.
	ReadCaller(h http.Header) (id string, remaining time.Duration)
	// ReadKey returns the key that a request carries, or "" if it carries none or several.
	ReadKey(h http.Header) string
	// WriteWorkspace removes the key and any workspace that the caller named from the
	// headers of a request, and names the workspace unless it is "".
	WriteWorkspace(h http.Header, workspace string)
	// WriteMerged sets the headers of a merged response to a caller.
	WriteMerged(h http.Header, proofs []string, missing int)
	// WriteCall sets the headers of a request to an upstream.
	WriteCall(h http.Header, c Call)
	// ReadReply decodes the headers of an upstream's response.
	ReadReply(status int, h http.Header) Reply
	// Private returns the names of upstream headers that are not forwarded to
	// callers.
	Private() []string
}

// Kind returns the kind of an answer, as used in logs and metrics.
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
	case Limited:
		return "limited"
	case NoRoute:
		return "no_route"
	case Invalid:
		return "invalid"
	}
	return "abandoned"
}
