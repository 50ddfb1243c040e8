package api_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// A request whose last byte comes late in a planned stop must be answered, and must not run if it is
// rejected.
func TestRequestLateInStopIsNotCutOff(t *testing.T) {
	for _, known := range []bool{true, false} {
		t.Run(fmt.Sprintf("known %v", known), func(t *testing.T) {
			f := newFixture(t)
			f.configure()
			if known {
				for range 2 {
					f.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7","q":"x"}}`, "Idempotency-Key", f.issueKey())
					f.do("POST", "/v1/workspaces/folders/searches/seats", `{"parameters":{"q":"crane"}}`)
				}
			}
			for _, u := range f.upstreams {
				u.SetSlow(400)
			}
			var requests sync.WaitGroup
			stopped := make(chan struct{})
			for after := 50 * time.Millisecond; after < 1100*time.Millisecond; after += 150 * time.Millisecond {
				key := f.issueKey()
				submission := f.beginRequest("/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7"}}`, key)
				search := f.beginRequest("/v1/workspaces/folders/searches/seats", `{"parameters":{"q":"crane"}}`, "")
				requests.Go(func() {
					<-stopped
					time.Sleep(after)
					status := submission.end()
					if status == 0 || status == http.StatusServiceUnavailable && f.recorder.KeyRuns(key) > 0 {
						t.Errorf("submission %v after the stop began: status %d, %d runs, want an answer, and 503 without a run", after, status, f.recorder.KeyRuns(key))
					}
				})
				requests.Go(func() {
					<-stopped
					time.Sleep(after)
					if status := search.end(); status == 0 {
						t.Errorf("search %v after the stop began: no answer", after)
					}
				})
			}
			close(stopped)
			f.stop()
			requests.Wait()
		})
	}
}

// A request whose body is not complete at the end of a planned stop must be answered; the connection
// was closed without an answer.
func TestIncompleteRequestIsAnsweredAtTheEndOfAStop(t *testing.T) {
	f := newFixture(t)
	f.configure()
	const search, submission = "/v1/workspaces/folders/searches/seats", "/v1/workspaces/folders/submissions/hold"
	const body = `{"parameters":{"seat":"A7","q":"x"}}`
	tests := []struct {
		name    string
		request *slowRequest
		want    int
	}{
		{"search", f.beginRequest(search, body, ""), http.StatusServiceUnavailable},
		{"first send", f.beginRequest(submission, body, f.issueKey(), "Geraniumstep-First-Send: ?1"), http.StatusServiceUnavailable},
		// Another node may have run it.
		{"sent again", f.beginRequest(submission, body, f.issueKey()), http.StatusGatewayTimeout},
	}
	time.Sleep(100 * time.Millisecond) // for the node to begin to read
	f.stop()
	for _, tt := range tests {
		if got := tt.request.read(); got != tt.want {
			t.Errorf("%s: status = %d, want %d", tt.name, got, tt.want)
		}
	}
}

// slowRequest is a request whose last byte the caller holds back.
type slowRequest struct {
	conn net.Conn
	last byte
}

// beginRequest sends a request but for its last byte.
func (f *fixture) beginRequest(path, body, key string, headers ...string) *slowRequest {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.node.Addr())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = conn.Close() })
	if key != "" {
		headers = append(headers, "Idempotency-Key: "+key)
	}
	last := len(body) - 1
	headers = append(headers, fmt.Sprintf("Content-Length: %d", len(body)))
	if _, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: node\r\n%s\r\n\r\n%s", path, strings.Join(headers, "\r\n"), body[:last]); err != nil {
		f.t.Fatal(err)
	}
	return &slowRequest{conn: conn, last: body[last]}
}

// end sends the last byte and returns the status of the complete response, or 0 if the connection
// ends without one.
func (r *slowRequest) end() int {
	_, _ = r.conn.Write([]byte{r.last})
	return r.read()
}

// read returns the status of the complete response, or 0 if the connection ends without one.
func (r *slowRequest) read() int {
	res, err := http.ReadResponse(bufio.NewReader(r.conn), nil)
	if err != nil {
		return 0
	}
	defer res.Body.Close()
	if _, err := io.ReadAll(res.Body); err != nil {
		return 0
	}
	return res.StatusCode
}

// issueKey returns a new idempotency key.
func (f *fixture) issueKey() string {
	f.t.Helper()
	keys, ok := f.node.IssueKeys(1)
	if !ok {
		f.t.Fatal("the node issues no keys")
	}
	return keys[0]
}
