package wire

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"geraniumstep.org/geraniumstep/pkg/search"
)

// The request headers of callers. Prefer follows RFC 7240 (wait=SECONDS),
// Grpc-Timeout the gRPC wire format (150m is 150 ms) and Idempotency-Key the IETF
// draft. Geraniumstep-First-Send is ?1 on the first send of an idempotency key, and
// X-Request-Id is the caller's identifier of the request, for logs.
const (
	HeaderPrefer    = "Prefer"
	HeaderTimeout   = "Grpc-Timeout"
	HeaderKey       = "Idempotency-Key"
	HeaderFirstSend = "Geraniumstep-First-Send"
	HeaderTrace     = "X-Request-Id"
)

// TypeProblem is the media type of RFC 9457.
const TypeProblem = "application/problem+json"

// RequestBody is the body of a search or submission request.
type RequestBody struct {
	Parameters map[string]any `json:"parameters"`
}

// Answer is the response to a search or submission.
type Answer struct {
	Request  string            `json:"request"`
	Snapshot uint64            `json:"snapshot"`
	Hits     []search.Hit      `json:"hits,omitempty"`
	Sum      *float64          `json:"sum,omitempty"`
	Ratio    float64           `json:"coverage_ratio"`
	Coverage []search.Coverage `json:"coverage"`
}

// Keys is the response to a request for node-issued idempotency keys.
type Keys struct {
	Keys []string `json:"keys"`
}

// The kinds of a problem. The kinds not_run and invalid guarantee that no upstream
// ran the request; unknown means that it may have run. The kind quarantined means
// that equal requests have crashed upstreams, and conflict that another change of the
// configuration object was committed first.
const (
	KindNotRun      = "not_run"
	KindUnknown     = "unknown"
	KindInvalid     = "invalid"
	KindQuarantined = "quarantined"
	KindConflict    = "conflict"
)

// Problem is a rejection or failure in the format of RFC 9457.
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail"`
	Kind       string        `json:"kind"`
	RetryAfter time.Duration `json:"-"`
	// Winner identifies the change that was committed first, in a conflict.
	Winner string `json:"winner,omitempty"`
}

// Error returns the title and the detail.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// Write writes the problem as the HTTP response.
func (p *Problem) Write(w http.ResponseWriter) {
	if p.Type == "" {
		p.Type = "about:blank"
	}
	w.Header().Set("Content-Type", TypeProblem)
	if p.RetryAfter > 0 {
		seconds := int64((p.RetryAfter + time.Second - 1) / time.Second)
		w.Header().Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	w.WriteHeader(p.Status)
	_ = json.NewEncoder(w).Encode(p)
}

// ParseTimeout returns the timeout that the caller sets in Grpc-Timeout or Prefer.
// It returns zero when the request has neither, and caps Grpc-Timeout at 24 hours.
func ParseTimeout(h http.Header) (time.Duration, error) {
	if v := h.Get(HeaderTimeout); v != "" {
		return parseGRPCTimeout(v)
	}
	for _, part := range strings.Split(h.Get(HeaderPrefer), ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok || !strings.EqualFold(name, "wait") {
			continue
		}
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil {
			return 0, fmt.Errorf("header Prefer has wait=%q; give whole seconds, as in wait=2", value)
		}
		return requirePositive(time.Duration(n)*time.Second, "Prefer")
	}
	return 0, nil
}

const maxTimeoutDigits = 8

func parseGRPCTimeout(v string) (time.Duration, error) {
	errFormat := fmt.Errorf("header Grpc-Timeout is %q; give at most 8 digits and a unit H, M, S, m, u or n, as in 150m", v)
	if len(v) < 2 || len(v) > maxTimeoutDigits+1 {
		return 0, errFormat
	}
	n, err := strconv.ParseUint(v[:len(v)-1], 10, 63)
	if err != nil {
		return 0, errFormat
	}
	units := map[byte]time.Duration{'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': 1}
	unit, ok := units[v[len(v)-1]]
	if !ok {
		return 0, errFormat
	}
	const maxTimeout = 24 * time.Hour
	if time.Duration(n) > maxTimeout/unit {
		return maxTimeout, nil
	}
	return requirePositive(time.Duration(n)*unit, "Grpc-Timeout")
}

func requirePositive(d time.Duration, header string) (time.Duration, error) {
	if d <= 0 {
		return 0, fmt.Errorf("header %s gives a deadline that has passed; allow more time", header)
	}
	return d, nil
}

// FormatTimeout formats a duration for Grpc-Timeout in milliseconds, at least 1 ms.
func FormatTimeout(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10) + "m"
}

// ParseKey returns the idempotency key, which is a structured-field string or an
// unquoted token.
func ParseKey(h http.Header) string {
	return strings.Trim(h.Get(HeaderKey), `"`)
}
