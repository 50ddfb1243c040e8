package api_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"
	"go.uber.org/goleak"

	"geraniumstep.org/geraniumstep/internal/api"
	"geraniumstep.org/geraniumstep/internal/fakes"
	"geraniumstep.org/geraniumstep/internal/node"
	"geraniumstep.org/geraniumstep/internal/object"
	"geraniumstep.org/geraniumstep/internal/setup"
	"geraniumstep.org/geraniumstep/internal/syncer"
	"geraniumstep.org/geraniumstep/pkg/layout"
)

// site is a node with its surroundings.
type site struct {
	t        *testing.T
	platform *fakes.Platform
	ledger   *fakes.Recorder
	node     *node.Node
	session  bytes.Buffer
}

// newSite starts a platform, three upstreams of two archives, and a node.
func newSite(t *testing.T) *site {
	t.Helper()
	s := &site{t: t, ledger: fakes.NewRecorder()}
	var err error
	if s.platform, err = fakes.NewPlatform("127.0.0.1:0", 1); err != nil {
		t.Fatal(err)
	}
	spec := layout.Spec{Revision: 1}
	shape := fakes.UpstreamConfig{Slots: 2, Conns: 25, Service: time.Millisecond, TailFactor: 1}
	var ids []string
	for i := range 3 {
		id := fmt.Sprintf("u%d", i)
		u, err := fakes.NewUpstream(id, "127.0.0.1:0", shape, s.ledger, 1, func(string, uint64) (int, bool) { return 2, true })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.Crash)
		u.SkipColdStart()
		ids = append(ids, id)
		spec.Upstreams = append(spec.Upstreams, layout.UpstreamSpec{ID: id, Addr: u.Addr(), Domain: "d", Slots: 2, Conns: 25})
	}
	spec.Archives = []layout.ArchiveSpec{
		{Name: "seats", Version: 4, Shards: [][]string{{ids[0], ids[1]}, {ids[1], ids[2]}}},
		{Name: "holds", Version: 1, Shards: [][]string{{ids[0]}, {ids[2]}}},
	}
	value, err := json.Marshal(spec)
	if err != nil {
		t.Fatal(err)
	}
	s.platform.Write(syncer.CatalogueKey, value)
	s.start()
	return s
}

func (s *site) start() {
	set := setup.Defaults()
	set.VM, set.FailureDomain = "entry-1", "d"
	set.Listen = setup.Listen{Caller: "127.0.0.1:0", Inner: "127.0.0.1:0", Gossip: "127.0.0.1:0"}
	set.Platform.URL = s.platform.URL()
	set.Stop = setup.Stop{Notice: 10 * time.Millisecond, Grace: time.Second}
	set.Limits.FanOut = 3
	set.Limits.BodyBytes = 300
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := object.New(set.Platform.URL)
	n, err := node.New(set, client, node.WithLog(log))
	if err != nil {
		s.t.Fatal(err)
	}
	n.Handle(api.New(n))
	s.node = n
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	s.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			s.t.Errorf("Run() = %v, want nil after a planned stop", err)
		}
		client.Close()
		s.platform.Close()
		http.DefaultClient.CloseIdleConnections()
	})
	for !n.Ready() || n.Status().Slots < set.Leases.Slots {
		time.Sleep(10 * time.Millisecond)
	}
}

var volatile = []struct{ pattern, name string }{
	{`entry-1-[0-9a-z]+-[0-9a-z]+`, "REQUEST"},
	{`entry-1\.[0-9a-z]+\.[0-9a-f-]{36}`, "ISSUED-KEY"},
	{`"id":"[0-9a-f-]{36}"`, `"id":"CHANGE-ID"`},
	{`"when":"[^"]+"`, `"when":"TIME"`},
	{`127\.0\.0\.1:\d+`, "ADDRESS"},
	{`"started":\d+`, `"started":0`},
}

// do makes one request and writes it with its answer into the session.
func (s *site) do(method, path, body string, headers ...string) {
	s.t.Helper()
	req, err := http.NewRequest(method, "http://"+s.node.Addr()+path, strings.NewReader(body))
	if err != nil {
		s.t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		s.t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		s.t.Fatal(err)
	}
	fmt.Fprintf(&s.session, "> %s %s\n", method, path)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&s.session, "> %s: %s\n", headers[i], steady(headers[i+1]))
	}
	if len(body) > 400 {
		body = fmt.Sprintf("(%d bytes)", len(body))
	}
	if body != "" {
		fmt.Fprintf(&s.session, "> %s\n", body)
	}
	fmt.Fprintf(&s.session, "< %d %s\n", res.StatusCode, res.Header.Get("Content-Type"))
	if v := res.Header.Get("Retry-After"); v != "" {
		fmt.Fprintf(&s.session, "< Retry-After: %s\n", v)
	}
	fmt.Fprintf(&s.session, "< %s\n", strings.TrimSpace(steady(string(data))))
}

// steady names what differs from one session to the next.
func steady(text string) string {
	for _, v := range volatile {
		text = regexp.MustCompile(v.pattern).ReplaceAllString(text, v.name)
	}
	return text
}

const (
	seats  = `{"name":"seats","archives":["seats"],"merge":"top-k","limit":2,"idempotent":true,"parameters":["q"]}`
	holds  = `{"name":"hold","archives":["holds"],"merge":"concat","idempotent":false,"partition":"seat","parameters":["seat","q"]}`
	wide   = `{"name":"wide","archives":["seats","holds"],"merge":"sum","idempotent":true,"parameters":["q"]}`
	folder = `{"name":"folders","archives":["seats","holds"],"priority":"urgent","target":"5s","deadline":"10s","prefer":"coverage"}`
	plain  = `{"name":"schools","archives":["seats"],"priority":"bulk","target":"5s","deadline":"10s","prefer":"coverage"}`
	key    = `"01890a5d-ac96-774b-bcce-b302099a8057"`
)

func (s *site) configure() {
	for path, spec := range map[string]string{
		"template/seats": seats, "template/hold": holds, "template/wide": wide,
		"workspace/folders": folder, "workspace/schools": plain,
	} {
		req, err := http.NewRequest(http.MethodPut, "http://"+s.node.Addr()+"/v1/config/"+path, strings.NewReader(spec))
		if err != nil {
			s.t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil || res.StatusCode != http.StatusOK {
			s.t.Fatalf("PUT %s = %v, %v", path, res, err)
		}
		_ = res.Body.Close()
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func golden(t *testing.T) *goldie.Goldie {
	return goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithDiffEngine(goldie.ColoredDiff))
}

func TestCallerSession(t *testing.T) {
	s := newSite(t)
	s.configure()
	const search = "/v1/workspaces/folders/searches/seats"
	s.do("POST", search, `{"parameters":{"q":"crane"}}`, "X-Request-Id", "t1")
	s.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7","q":"hold"}}`, "Idempotency-Key", key)
	s.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7","q":"hold"}}`, "Idempotency-Key", key, "Geraniumstep-First-Send", "?1")
	s.do("POST", "/v1/keys", "")
	keys, _ := s.node.IssueKeys(1)
	s.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7"}}`, "Idempotency-Key", keys[0], "X-Request-Id", "t2")
	s.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7"}}`, "Idempotency-Key", keys[0], "X-Request-Id", "t2")
	if got, want := s.ledger.KeyRuns(keys[0]), 1; got != want {
		t.Errorf("the key ran %d times, want %d", got, want)
	}
	before := s.ledger.Totals().Necessary
	s.do("POST", search, `{"parameters":`)
	s.do("POST", search, `{"parameters":{"colour":"red"}}`)
	s.do("POST", search, `{"parameters":{"q":"`+strings.Repeat("x", 400)+`"}}`)
	s.do("POST", search, `{}`, "Grpc-Timeout", "soon")
	s.do("POST", search, `{}`, "Grpc-Timeout", "0m")
	s.do("POST", search, `{}`, "Prefer", "wait=x")
	s.do("POST", "/v1/workspaces/folders/searches/unknown", `{}`)
	s.do("POST", "/v1/workspaces/unknown/searches/seats", `{}`)
	s.do("POST", "/v1/workspaces/folders/searches/hold", `{}`)
	s.do("POST", "/v1/workspaces/folders/searches/wide", `{}`)
	s.do("POST", "/v1/workspaces/schools/submissions/hold", `{"parameters":{"seat":"A7"}}`, "Idempotency-Key", key)
	s.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7"}}`, "Idempotency-Key", "order-17")
	s.do("POST", "/v1/workspaces/folders/submissions/hold", `{}`, "Idempotency-Key", key)
	s.do("GET", search, "")
	s.do("GET", "/v1/nothing", "")
	s.do("POST", "/v1/keys?count=0", "")
	if got := s.ledger.Totals().Necessary; got != before {
		t.Errorf("refused requests reached upstreams %d times, want none", got-before)
	}
	golden(t).Assert(t, "caller", s.session.Bytes())
}

func TestOperatorSession(t *testing.T) {
	s := newSite(t)
	s.do("PUT", "/v1/config/template/seats", seats, "Geraniumstep-Operator", "ann")
	s.do("PUT", "/v1/config/workspace/folders", folder, "Geraniumstep-Operator", "ann", "Geraniumstep-Base", "0")
	s.do("PUT", "/v1/config/workspace/folders", folder, "Geraniumstep-Operator", "ben", "Geraniumstep-Base", "0")
	s.do("PUT", "/v1/config/workspace/folders", strings.Replace(folder, "coverage", "speed", 1), "Geraniumstep-Operator", "ben")
	s.do("PUT", "/v1/config/workspace/other", folder, "Geraniumstep-Operator", "ben")
	s.do("PUT", "/v1/config/archive/x", `{}`)
	s.do("GET", "/v1/config/template", "")
	s.do("GET", "/v1/config/workspace/folders", "")
	s.do("GET", "/v1/config/workspace/nobody", "")
	s.platform.SetDown(true)
	s.do("GET", "/v1/history", "")
	s.platform.SetDown(false)
	s.platform.SetLostReplies(1)
	s.do("DELETE", "/v1/config/template/seats", "", "Geraniumstep-Operator", "ann")
	s.platform.SetLostReplies(0)
	s.do("DELETE", "/v1/config/template/seats", "", "Geraniumstep-Operator", "ben")
	s.do("GET", "/v1/history", "")
	s.do("GET", "/v1/status", "")
	s.do("GET", "/readyz", "")
	golden(t).Assert(t, "operator", s.session.Bytes())
}
