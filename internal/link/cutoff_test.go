package link

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"geraniumstep.org/geraniumstep/internal/proto"
)

// headForms are heads of responses, by what they are answers to and how their end is told.
var headForms = map[string]struct{ method, head string }{
	"length":                {http.MethodPost, "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Length: 16\r\n\r\n"},
	"length first":          {http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 16\r\nId: r-1\r\nProof: p\r\n\r\n"},
	"length 0":              {http.MethodPost, "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Length: 0\r\n\r\n"},
	"chunked":               {http.MethodGet, "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nTransfer-Encoding: chunked\r\n\r\n"},
	"no length":             {http.MethodGet, "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\n\r\n"},
	"no length, close":      {http.MethodGet, "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nConnection: close\r\n\r\n"},
	"HTTP/1.0":              {http.MethodGet, "HTTP/1.0 200 OK\r\nId: r-1\r\nProof: p\r\n\r\n"},
	"lines without returns": {http.MethodGet, "HTTP/1.1 200 OK\nId: r-1\nProof: p\nContent-Length: 16\n\n"},
	"folded line":           {http.MethodGet, "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Length: 16\r\nX-Other: a\r\n b\r\n\r\n"},
	"HEAD":                  {http.MethodHead, "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Length: 16\r\n\r\n"},
	"HEAD, no length":       {http.MethodHead, "HTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\n\r\n"},
	"204":                   {http.MethodPost, "HTTP/1.1 204 No Content\r\nId: r-1\r\nProof: p\r\n\r\n"},
	"304":                   {http.MethodGet, "HTTP/1.1 304 Not Modified\r\nId: r-1\r\nProof: p\r\nContent-Length: 16\r\n\r\n"},
	"503":                   {http.MethodPost, "HTTP/1.1 503 Service Unavailable\r\nId: r-1\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n"},
	"after 100":             {http.MethodPost, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\nContent-Length: 0\r\n\r\n"},
	"after 103":             {http.MethodGet, "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\nId: r-1\r\nProof: p\r\n\r\n"},
}

// A response whose head is cut off at any byte must be an error, and its connection must not be
// reused, whether the upstream closes or resets it.
func TestResponseCutOffInItsHeadIsAnError(t *testing.T) {
	for name, form := range headForms {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for end := range len(form.head) {
				for _, reset := range []bool{false, true} {
					p := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
						if readRequest(r) != nil {
							return
						}
						_, _ = io.WriteString(c, form.head[:end])
						if reset {
							_ = c.(*net.TCPConn).SetLinger(0)
						}
					})
					c, err := p.Connect(context.Background())
					if err != nil {
						t.Fatal(err)
					}
					req := &proto.Request{ID: "r-1", Method: form.method, Host: "h", Target: "/"}
					res, wrote, err := c.Exchange(req, EncodeRequest(EncodeHead(req, nil), nil, nil), testDialect{})
					if err == nil || !wrote || c.reusable {
						t.Fatalf("cut after %q, reset %v: Exchange() = %+v, wrote %v, %v, reusable %v, want an error", lastBytes(form.head[:end]), reset, res, wrote, err, c.reusable)
					}
				}
			}
		})
	}
}

func lastBytes(s string) string { return s[max(0, len(s)-20):] }

// A response that ends with its connection is complete if that is closed, and not if it is
// reset.
func TestResponseWithoutLengthIsIncompleteAfterReset(t *testing.T) {
	for _, reset := range []bool{false, true} {
		p := newUpstream(t, func(c net.Conn, r *bufio.Reader) {
			if readRequest(r) != nil {
				return
			}
			_, _ = io.WriteString(c, headForms["no length"].head+strings.Repeat("x", 16))
			if reset {
				time.Sleep(50 * time.Millisecond)
				_ = c.(*net.TCPConn).SetLinger(0)
			}
		})
		c, err := p.Connect(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		req := &proto.Request{ID: "r-1", Method: http.MethodGet, Host: "h", Target: "/"}
		res, _, err := c.Exchange(req, EncodeRequest(EncodeHead(req, nil), nil, nil), testDialect{})
		if got, want := err != nil, reset; got != want {
			t.Errorf("reset %v: Exchange() = %+v, %v, want an error: %v", reset, res, err, want)
		}
	}
}
