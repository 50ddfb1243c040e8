package body

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/pkg/finish"
)

// A body that is not complete at the end of a stop must be an error that leaves the caller an answer;
// one that is complete must be read as before.
func TestIncompleteBodyEndsWithTheStop(t *testing.T) {
	for _, c := range []struct {
		name, body string
		want       int
	}{{"incomplete", "ab", http.StatusServiceUnavailable}, {"complete", "abc", http.StatusOK}} {
		t.Run(c.name, func(t *testing.T) {
			stop := finish.New()
			reading := make(chan struct{})
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				release := EndAtStop(stop, w, r)
				close(reading)
				data, err := io.ReadAll(r.Body)
				release()
				switch {
				case IsEnded(err):
					w.WriteHeader(http.StatusServiceUnavailable)
				case err != nil || string(data) != c.body || r.Context().Err() != nil:
					t.Errorf("body = %q, %v, context %v, want %q", data, err, r.Context().Err(), c.body)
				}
			}))
			t.Cleanup(server.Close)
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(func() { _ = conn.Close() })
			if _, err := fmt.Fprintf(conn, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\n%s", c.body); err != nil {
				t.Fatal(err)
			}
			<-reading
			server.Config.SetKeepAlivesEnabled(false)
			stop.Begin(time.Now().Add(50 * time.Millisecond))
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("response = %v, want status %d", err, c.want)
			}
			_ = res.Body.Close()
			if got := res.StatusCode; got != c.want {
				t.Errorf("status = %d, want %d", got, c.want)
			}
		})
	}
}
