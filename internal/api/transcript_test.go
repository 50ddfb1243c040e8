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

// fixture is a node with a fake platform and fake upstreams. It records HTTP
// requests and responses in a transcript, which is compared with a golden file.
type fixture struct {
	t         *testing.T
	platform  *fakes.Platform
	recorder  *fakes.Recorder
	node      *node.Node
	upstreams []*fakes.Upstream
	// stop begins the planned stop of the node.
	stop       context.CancelFunc
	transcript bytes.Buffer
}

// newFixture starts a platform, three upstreams that serve two archives, and a node.
func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, recorder: fakes.NewRecorder()}
	var err error
	if f.platform, err = fakes.NewPlatform("127.0.0.1:0", 1); err != nil {
		t.Fatal(err)
	}
	spec := layout.Spec{Revision: 1}
	upstreamConfig := fakes.UpstreamConfig{Slots: 2, Conns: 25, Service: time.Millisecond, TailFactor: 1}
	var ids []string
	for i := range 3 {
		id := fmt.Sprintf("u%d", i)
		u, err := fakes.NewUpstream(id, "127.0.0.1:0", upstreamConfig, f.recorder, 1, func(string, uint64) (int, bool) { return 2, true })
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(u.Crash)
		u.SkipColdStart()
		f.upstreams = append(f.upstreams, u)
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
	f.platform.Write(syncer.CatalogueKey, value)
	f.start()
	return f
}

func (f *fixture) start() {
	set := setup.Defaults()
	set.VM, set.FailureDomain = "entry-1", "d"
	set.Listen = setup.Listen{Caller: "127.0.0.1:0", Inner: "127.0.0.1:0", Gossip: "127.0.0.1:0"}
	set.Platform.URL = f.platform.URL()
	set.Stop = setup.Stop{Notice: 10 * time.Millisecond, Grace: time.Second}
	set.Limits.FanOut = 3
	set.Limits.BodyBytes = 300
	log := logrus.New()
	log.SetOutput(io.Discard)
	client := object.New(set.Platform.URL)
	n, err := node.New(set, client, node.WithLog(log))
	if err != nil {
		f.t.Fatal(err)
	}
	n.Handle(api.New(n))
	f.node = n
	ctx, cancel := context.WithCancel(context.Background())
	f.stop = cancel
	done := make(chan error, 1)
	go func() { done <- n.Run(ctx) }()
	f.t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			f.t.Errorf("Run() = %v, want nil after a graceful stop", err)
		}
		client.Close()
		f.platform.Close()
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

// do sends one request and appends the request and its response to the transcript.
func (f *fixture) do(method, path, body string, headers ...string) {
	f.t.Helper()
	req, err := http.NewRequest(method, "http://"+f.node.Addr()+path, strings.NewReader(body))
	if err != nil {
		f.t.Fatal(err)
	}
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		f.t.Fatal(err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		f.t.Fatal(err)
	}
	fmt.Fprintf(&f.transcript, "> %s %s\n", method, path)
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&f.transcript, "> %s: %s\n", headers[i], normalize(headers[i+1]))
	}
	if len(body) > 400 {
		body = fmt.Sprintf("(%d bytes)", len(body))
	}
	if body != "" {
		fmt.Fprintf(&f.transcript, "> %s\n", body)
	}
	fmt.Fprintf(&f.transcript, "< %d %s\n", res.StatusCode, res.Header.Get("Content-Type"))
	if v := res.Header.Get("Retry-After"); v != "" {
		fmt.Fprintf(&f.transcript, "< Retry-After: %s\n", v)
	}
	fmt.Fprintf(&f.transcript, "< %s\n", strings.TrimSpace(normalize(string(data))))
}

// normalize replaces the values that differ between runs with fixed names.
func normalize(text string) string {
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

func (f *fixture) configure() {
	for path, spec := range map[string]string{
		"template/seats": seats, "template/hold": holds, "template/wide": wide,
		"workspace/folders": folder, "workspace/schools": plain,
	} {
		req, err := http.NewRequest(http.MethodPut, "http://"+f.node.Addr()+"/v1/config/"+path, strings.NewReader(spec))
		if err != nil {
			f.t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(req)
		if err != nil || res.StatusCode != http.StatusOK {
			f.t.Fatalf("PUT %s = %v, %v", path, res, err)
		}
		_ = res.Body.Close()
	}
}

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func golden(t *testing.T) *goldie.Goldie {
	return goldie.New(t, goldie.WithFixtureDir("testdata"), goldie.WithDiffEngine(goldie.ColoredDiff))
}

func TestCallerTranscript(t *testing.T) {
	f := newFixture(t)
	f.configure()
	const search = "/v1/workspaces/folders/searches/seats"
	f.do("POST", search, `{"parameters":{"q":"crane"}}`, "X-Request-Id", "t1")
	f.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7","q":"hold"}}`, "Idempotency-Key", key)
	f.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7","q":"hold"}}`, "Idempotency-Key", key, "Geraniumstep-First-Send", "?1")
	f.do("POST", "/v1/keys", "")
	keys, _ := f.node.IssueKeys(1)
	f.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7"}}`, "Idempotency-Key", keys[0], "X-Request-Id", "t2")
	f.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7"}}`, "Idempotency-Key", keys[0], "X-Request-Id", "t2")
	if got, want := f.recorder.KeyRuns(keys[0]), 1; got != want {
		t.Errorf("the key ran %d times, want %d", got, want)
	}
	before := f.recorder.Totals().Necessary
	f.do("POST", search, `{"parameters":`)
	f.do("POST", search, `{"parameters":{"colour":"red"}}`)
	f.do("POST", search, `{"parameters":{"q":"`+strings.Repeat("x", 400)+`"}}`)
	f.do("POST", search, `{}`, "Grpc-Timeout", "soon")
	f.do("POST", search, `{}`, "Grpc-Timeout", "0m")
	f.do("POST", search, `{}`, "Prefer", "wait=x")
	f.do("POST", "/v1/workspaces/folders/searches/unknown", `{}`)
	f.do("POST", "/v1/workspaces/unknown/searches/seats", `{}`)
	f.do("POST", "/v1/workspaces/folders/searches/hold", `{}`)
	f.do("POST", "/v1/workspaces/folders/searches/wide", `{}`)
	f.do("POST", "/v1/workspaces/schools/submissions/hold", `{"parameters":{"seat":"A7"}}`, "Idempotency-Key", key)
	f.do("POST", "/v1/workspaces/folders/submissions/hold", `{"parameters":{"seat":"A7"}}`, "Idempotency-Key", "order-17")
	f.do("POST", "/v1/workspaces/folders/submissions/hold", `{}`, "Idempotency-Key", key)
	f.do("GET", search, "")
	f.do("GET", "/v1/nothing", "")
	f.do("POST", "/v1/keys?count=0", "")
	if got := f.recorder.Totals().Necessary; got != before {
		t.Errorf("rejected requests reached upstreams %d times, want none", got-before)
	}
	golden(t).Assert(t, "caller", f.transcript.Bytes())
}

func TestOperatorTranscript(t *testing.T) {
	f := newFixture(t)
	f.do("PUT", "/v1/config/template/seats", seats, "Geraniumstep-Operator", "ann")
	f.do("PUT", "/v1/config/workspace/folders", folder, "Geraniumstep-Operator", "ann", "Geraniumstep-Base", "0")
	f.do("PUT", "/v1/config/workspace/folders", folder, "Geraniumstep-Operator", "ben", "Geraniumstep-Base", "0")
	f.do("PUT", "/v1/config/workspace/folders", strings.Replace(folder, "coverage", "speed", 1), "Geraniumstep-Operator", "ben")
	f.do("PUT", "/v1/config/workspace/other", folder, "Geraniumstep-Operator", "ben")
	f.do("PUT", "/v1/config/archive/x", `{}`)
	f.do("GET", "/v1/config/template", "")
	f.do("GET", "/v1/config/workspace/folders", "")
	f.do("GET", "/v1/config/workspace/nobody", "")
	f.platform.SetDown(true)
	f.do("GET", "/v1/history", "")
	f.platform.SetDown(false)
	f.platform.SetLostReplies(1)
	f.do("DELETE", "/v1/config/template/seats", "", "Geraniumstep-Operator", "ann")
	f.platform.SetLostReplies(0)
	f.do("DELETE", "/v1/config/template/seats", "", "Geraniumstep-Operator", "ben")
	f.do("GET", "/v1/history", "")
	f.do("GET", "/v1/status", "")
	f.do("GET", "/readyz", "")
	golden(t).Assert(t, "operator", f.transcript.Bytes())
}
