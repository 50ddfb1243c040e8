package wire_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/wire"
)

func TestParseTimeout(t *testing.T) {
	for _, c := range []struct {
		header, value string
		want          time.Duration
		ok            bool
	}{
		{"", "", 0, true},
		{wire.HeaderTimeout, "150m", 150 * time.Millisecond, true},
		{wire.HeaderTimeout, "2S", 2 * time.Second, true},
		{wire.HeaderTimeout, "99999999H", 24 * time.Hour, true},
		{wire.HeaderTimeout, "999999999m", 0, false},
		{wire.HeaderTimeout, "0S", 0, false},
		{wire.HeaderTimeout, "-1S", 0, false},
		{wire.HeaderTimeout, "5x", 0, false},
		{wire.HeaderPrefer, "respond-async, wait=3", 3 * time.Second, true},
		{wire.HeaderPrefer, "wait=soon", 0, false},
		{wire.HeaderPrefer, "return=minimal", 0, true},
	} {
		h := http.Header{}
		h.Set(c.header, c.value)
		got, err := wire.ParseTimeout(h)
		if got != c.want || (err == nil) != c.ok {
			t.Errorf("ParseTimeout(%s: %s) = %v, %v; want %v, accepted %v", c.header, c.value, got, err, c.want, c.ok)
		}
	}
}

func TestProblemWriteSetsRetryAfter(t *testing.T) {
	w := httptest.NewRecorder()
	p := &wire.Problem{Status: http.StatusServiceUnavailable, Kind: wire.KindNotRun, Title: "t", Detail: "d", RetryAfter: 1200 * time.Millisecond}
	p.Write(w)
	if got, want := w.Header().Get("Retry-After"), "2"; got != want {
		t.Errorf("Retry-After = %q, want %q", got, want)
	}
	if got, want := w.Header().Get("Content-Type"), wire.TypeProblem; got != want {
		t.Errorf("Content-Type = %q, want %q", got, want)
	}
}

func FuzzParseTimeout(f *testing.F) {
	f.Add("150m", "wait=2")
	f.Add("", "wait=99999999999999999999")
	f.Fuzz(func(t *testing.T, timeout, prefer string) {
		h := http.Header{wire.HeaderTimeout: {timeout}, wire.HeaderPrefer: {prefer}}
		if got, err := wire.ParseTimeout(h); got < 0 || err != nil && got != 0 {
			t.Errorf("ParseTimeout(%q, %q) = %v, %v", timeout, prefer, got, err)
		}
	})
}
