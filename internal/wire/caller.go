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

// The headers of callers. Prefer is RFC 7240 (wait=SECONDS), Grpc-Timeout is
// the gRPC wire format (150m is 150 ms), Idempotency-Key is the IETF draft.
const (
	HeaderPrefer    = "Prefer"
	HeaderTimeout   = "Grpc-Timeout"
	HeaderKey       = "Idempotency-Key"
	HeaderFirstSend = "Geraniumstep-First-Send"
	HeaderTrace     = "X-Request-Id"
)

// TypeProblem is the media type of RFC 9457.
const TypeProblem = "application/problem+json"

// RequestBody is the body of a search or submit.
type RequestBody struct {
	Parameters map[string]any `json:"parameters"`
}

// Answer is the answer to a search or submit.
type Answer struct {
	Request  string            `json:"request"`
	Snapshot uint64            `json:"snapshot"`
	Hits     []search.Hit      `json:"hits,omitempty"`
	Sum      *float64          `json:"sum,omitempty"`
	Ratio    float64           `json:"coverage_ratio"`
	Coverage []search.Coverage `json:"coverage"`
}

// Keys is the answer to a request for node-issued idempotency keys.
type Keys struct {
	Keys []string `json:"keys"`
}

// The kinds of a problem. Kinds not_run and invalid promise that no upstream
// saw the request; unknown says that it may have run.
const (
	KindNotRun      = "not_run"
	KindUnknown     = "unknown"
	KindInvalid     = "invalid"
	KindQuarantined = "quarantined"
	KindConflict    = "conflict"
)

// Problem is a refusal or failure in the form of RFC 9457.
type Problem struct {
	Type       string        `json:"type"`
	Title      string        `json:"title"`
	Status     int           `json:"status"`
	Detail     string        `json:"detail"`
	Kind       string        `json:"kind"`
	RetryAfter time.Duration `json:"-"`
	// Winner names the change that went first, in a conflict.
	Winner string `json:"winner,omitempty"`
}

// Error gives the title and detail.
func (p *Problem) Error() string { return p.Title + ": " + p.Detail }

// Write sends the problem as the response.
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

// ParseTimeout reads the time that the caller allows from Grpc-Timeout or
// Prefer. It returns zero when neither is there.
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
		return positive(time.Duration(n)*time.Second, "Prefer")
	}
	return 0, nil
}

const maxTimeoutDigits = 8

func parseGRPCTimeout(v string) (time.Duration, error) {
	bad := fmt.Errorf("header Grpc-Timeout is %q; give at most 8 digits and a unit H, M, S, m, u or n, as in 150m", v)
	if len(v) < 2 || len(v) > maxTimeoutDigits+1 {
		return 0, bad
	}
	n, err := strconv.ParseUint(v[:len(v)-1], 10, 63)
	if err != nil {
		return 0, bad
	}
	units := map[byte]time.Duration{'H': time.Hour, 'M': time.Minute, 'S': time.Second, 'm': time.Millisecond, 'u': time.Microsecond, 'n': 1}
	unit, ok := units[v[len(v)-1]]
	if !ok {
		return 0, bad
	}
	const longest = 24 * time.Hour
	if time.Duration(n) > longest/unit {
		return longest, nil
	}
	return positive(time.Duration(n)*unit, "Grpc-Timeout")
}

func positive(d time.Duration, header string) (time.Duration, error) {
	if d <= 0 {
		return 0, fmt.Errorf("header %s gives a deadline that has passed; allow more time", header)
	}
	return d, nil
}

// FormatTimeout writes a duration for Grpc-Timeout, in whole milliseconds.
func FormatTimeout(d time.Duration) string {
	return strconv.FormatInt(max(d.Milliseconds(), 1), 10) + "m"
}

// ParseKey reads an idempotency key, a structured-field string or a bare token.
func ParseKey(h http.Header) string {
	return strings.Trim(h.Get(HeaderKey), `"`)
}
