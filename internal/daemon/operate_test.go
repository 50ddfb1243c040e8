package daemon

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"geraniumstep.org/geraniumstep/internal/link"
	"geraniumstep.org/geraniumstep/internal/mesh"
	"geraniumstep.org/geraniumstep/pkg/member"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

// operatedDaemon returns a daemon that has quarantined the request 0xabc.
func operatedDaemon(t *testing.T) *Daemon {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := &Daemon{log: logrus.NewEntry(log), crashes: poison.New(), registry: prometheus.NewRegistry()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	packets, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = l.Close(), packets.Close() })
	d.mesh = mesh.New(member.Record{VM: "a", Domain: "a"}, l, packets, newState(nil, nil, d.log), link.Dial)
	for _, crash := range []string{"u1/1", "u2/1"} {
		d.crashes.RecordCrash(crash, time.Now(), []poison.Run{{Fingerprint: 0xabc}})
	}
	return d
}

func serveOperator(d *Daemon, method, path string) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	d.operation().ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w
}

// An operator must be able to release a request that was quarantined by mistake.
func TestOperatorEndsAQuarantine(t *testing.T) {
	d := operatedDaemon(t)
	if got, want := serveOperator(d, http.MethodGet, "/quarantines").Body.String(), "0000000000000abc"; !strings.Contains(got, want) {
		t.Fatalf("list = %s, want one that holds %s", got, want)
	}
	if got, want := serveOperator(d, http.MethodDelete, "/quarantines/abc").Code, http.StatusNoContent; got != want {
		t.Errorf("status = %d, want %d", got, want)
	}
	if got := d.crashes.Verdict(0xabc); got == poison.Quarantined || got == poison.Suspect {
		t.Errorf("verdict afterward = %v, want neither quarantined nor suspect", got)
	}
	if got, want := strings.TrimSpace(serveOperator(d, http.MethodGet, "/quarantines").Body.String()), "[]"; got != want {
		t.Errorf("list afterward = %s, want %s", got, want)
	}
}

func TestOperatorGetsAClearError(t *testing.T) {
	d := operatedDaemon(t)
	for path, want := range map[string]int{"/quarantines/xyz": http.StatusBadRequest, "/quarantines/123": http.StatusNotFound} {
		got := serveOperator(d, http.MethodDelete, path)
		if got.Code != want || !strings.Contains(got.Body.String(), "GET /quarantines") {
			t.Errorf("DELETE %s = %d %q, want %d and the remedy", path, got.Code, got.Body, want)
		}
	}
	if got := serveOperator(d, http.MethodGet, "/metrics"); got.Code != http.StatusOK {
		t.Errorf("GET /metrics = %d, want %d", got.Code, http.StatusOK)
	}
}
