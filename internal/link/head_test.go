package link

import (
	"bufio"
	"io"
	"net"
	"runtime"
	"strings"
	"testing"
	"time"
)

// allocLimitBytes is the memory that reading one endless response may allocate in all.
const allocLimitBytes = 4 << 20

// An upstream that sends a head without end must not fill the memory: in one line, in
// many lines, in the status line, or as interim responses.
func TestHeadWithoutEndIsCutOff(t *testing.T) {
	for name, part := range map[string]struct{ start, repeat string }{
		"one line":          {"HTTP/1.1 200 OK\r\nX: ", strings.Repeat("x", 1024)},
		"many lines":        {"HTTP/1.1 200 OK\r\n", "X-Name: value\r\n"},
		"status line":       {"HTTP/1.1 200 ", strings.Repeat("x", 1024)},
		"interim responses": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
				if readRequest(r) != nil {
					return
				}
				_, err := io.WriteString(c, part.start)
				for chunk := []byte(strings.Repeat(part.repeat, 64)); err == nil; {
					_, err = c.Write(chunk)
				}
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			start := time.Now()
			conn, _, err := exchange(t, p, 0)
			runtime.ReadMemStats(&after)
			if err == nil || conn.reusable {
				t.Errorf("Exchange() = %v, reusable = %v, want an error and false", err, conn.reusable)
			}
			if got, limit := time.Since(start), time.Second; got > limit {
				t.Errorf("Exchange() took %v, want at most %v", got, limit)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got > allocLimitBytes {
				t.Errorf("bytes allocated = %d, want at most %d", got, allocLimitBytes)
			}
			_ = conn.Close()
		})
	}
}

// A few interim responses before the final one are skipped.
func TestInterimResponsesAreSkipped(t *testing.T) {
	p := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		if readRequest(r) == nil {
			_, _ = io.WriteString(c, strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", maxInterim))
			writeResponse(c, 200, "")
		}
	})
	if _, res, err := exchange(t, p, 0); err != nil || res.Status() != 200 {
		t.Errorf("Exchange() = %+v, %v, want status 200", res, err)
	}
}

// The limit counts for each response anew: a connection may carry many.
func TestHeadLimitCountsForEachResponse(t *testing.T) {
	large := "X-Large: " + strings.Repeat("x", maxHeadBytes/2) + "\r\n"
	p := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
		for readRequest(r) == nil {
			writeResponse(c, 200, large)
		}
	})
	for range 5 {
		c, _, err := exchange(t, p, 0)
		if err != nil {
			t.Fatal(err)
		}
		p.Release(c)
	}
}
