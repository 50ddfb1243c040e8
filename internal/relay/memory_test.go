package relay

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/pkg/vhost"
)

// Many upstreams that send bodies without end at the same time must not fill the memory,
// and must not keep small responses of others from callers afterward.
func TestEndlessBodiesAreBoundedTogether(t *testing.T) {
	const limit = 4 << 20
	up := newFakeUpstream(t, "up-1")
	chunk := strings.Repeat("x", 64<<10)
	up.setHandler(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/small" {
			_, _ = fmt.Fprintf(w, "%-16s", up.id)
			return
		}
		for r.Context().Err() == nil {
			if _, err := io.WriteString(w, chunk); err != nil {
				return
			}
		}
	})
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc"))
	WithMemory(limit)(e)
	url := newCallerServer(t, e)
	var most int64
	var callers sync.WaitGroup
	done := make(chan struct{})
	for i := range 8 {
		callers.Go(func() { get(t, url, "single", "/endless", fmt.Sprintf("r-%d", i)) })
	}
	go func() {
		callers.Wait()
		close(done)
	}()
	for running := true; running; time.Sleep(time.Millisecond) {
		most = max(most, e.memory.Used())
		select {
		case <-done:
			running = false
		default:
		}
	}
	if most > limit || most < limit/2 {
		t.Errorf("most bytes held = %d, want at most %d, and most of them", most, limit)
	}
	if status := get(t, url, "single", "/small", "r-9"); status != http.StatusOK {
		t.Errorf("status of a small response afterward = %d, want %d", status, http.StatusOK)
	}
	eventuallyFree(t, e)
}

// A caller's body that does not fit into memory must be rejected as not run.
func TestCallersBodiesAreBoundedTogether(t *testing.T) {
	up := newFakeUpstream(t, "up-1")
	e := newEngine(t, []*vhost.Route{singleRoute("svc", true)}, up.entry("svc"))
	WithMemory(32 << 10)(e)
	url := newCallerServer(t, e)
	req, err := http.NewRequest(http.MethodPost, url+"/x", strings.NewReader(strings.Repeat("x", 64<<10)))
	if err != nil {
		t.Fatal(err)
	}
	req.Host = "single"
	req.Header.Set("Id", "r-1")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if got, want := res.StatusCode, http.StatusServiceUnavailable; got != want || res.Header.Get("Retry-After") == "" {
		t.Errorf("status = %d, Retry-After %q, want %d and a delay", got, res.Header.Get("Retry-After"), want)
	}
	if got := up.runs.Load(); got != 0 {
		t.Errorf("runs = %d, want 0", got)
	}
	eventuallyFree(t, e)
}

// get sends a request as a caller and returns the status, or 0 if it failed.
func get(t *testing.T, url, host, path, id string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodGet, url+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	req.Host = host
	req.Header.Set("Id", id)
	req.Header.Set("Left", "2000")
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	return res.StatusCode
}

// eventuallyFree fails the test unless all memory is returned soon.
func eventuallyFree(t *testing.T, e *Engine) {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); e.memory.Used() != 0; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("bytes held after all requests ended = %d, want 0", e.memory.Used())
		}
	}
}
