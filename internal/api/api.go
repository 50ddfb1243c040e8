// Package api is the HTTP interface of a node for callers, operators and probes. It
// serves searches, submissions, the configuration, status and metrics:
//
//	n.Handle(api.New(n))
package api

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"

	"github.com/alexedwards/flow"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"geraniumstep.org/geraniumstep/internal/body"
	"geraniumstep.org/geraniumstep/internal/node"
	"geraniumstep.org/geraniumstep/internal/wire"
)

// The paths for callers.
const (
	PathSearch = "/v1/workspaces/:workspace/searches/:template"
	PathSubmit = "/v1/workspaces/:workspace/submissions/:template"
	PathKeys   = "/v1/keys"
)

// The paths for operators and probes.
const (
	PathHealth  = "/healthz"
	PathReady   = "/readyz"
	PathMetrics = "/metrics"
	PathStatus  = "/v1/status"
	PathHistory = "/v1/history"
	PathKind    = "/v1/config/:kind"
	PathObject  = "/v1/config/:kind/:name"
)

const maxKeys = 1000

type handler struct{ node *node.Node }

// New returns the HTTP handler of a node.
func New(n *node.Node) http.Handler {
	h := &handler{node: n}
	mux := flow.New()
	mux.HandleFunc(PathSearch, h.search, http.MethodPost)
	mux.HandleFunc(PathSubmit, h.submit, http.MethodPost)
	mux.HandleFunc(PathKeys, h.keys, http.MethodPost)
	mux.HandleFunc(PathHealth, h.health, http.MethodGet)
	mux.HandleFunc(PathReady, h.ready, http.MethodGet)
	mux.HandleFunc(PathStatus, h.status, http.MethodGet)
	mux.HandleFunc(PathHistory, h.history, http.MethodGet)
	mux.HandleFunc(PathKind, h.list, http.MethodGet)
	mux.HandleFunc(PathObject, h.get, http.MethodGet)
	mux.HandleFunc(PathObject, h.put, http.MethodPut)
	mux.HandleFunc(PathObject, h.retire, http.MethodDelete)
	mux.Handle(PathMetrics, promhttp.HandlerFor(n.Gatherer(), promhttp.HandlerOpts{}), http.MethodGet)
	mux.NotFound = http.HandlerFunc(notFound)
	mux.MethodNotAllowed = http.HandlerFunc(notAllowed)
	return mux
}

func (h *handler) search(w http.ResponseWriter, r *http.Request) {
	req, p := h.read(w, r)
	if p != nil {
		p.Write(w)
		return
	}
	a, p := h.node.Search(r.Context(), req)
	reply(w, a, p)
}

func (h *handler) submit(w http.ResponseWriter, r *http.Request) {
	req, p := h.read(w, r)
	if p != nil {
		p.Write(w)
		return
	}
	req.Key = wire.ParseKey(r.Header)
	req.FirstSend = isFirstSend(r)
	a, p := h.node.Submit(r.Context(), req)
	reply(w, a, p)
}

// isFirstSend reports whether the caller sends its idempotency key for the first time.
func isFirstSend(r *http.Request) bool { return r.Header.Get(wire.HeaderFirstSend) == "?1" }

func reply(w http.ResponseWriter, a *wire.Answer, p *wire.Problem) {
	if p != nil {
		p.Write(w)
		return
	}
	respond(w, a)
}

// read converts the HTTP request of a caller. The timeout comes from the headers
// and the parameters from the body.
func (h *handler) read(w http.ResponseWriter, r *http.Request) (node.Request, *wire.Problem) {
	req := node.Request{
		Workspace: r.PathValue("workspace"),
		Template:  r.PathValue("template"),
		Trace:     r.Header.Get(wire.HeaderTrace),
	}
	timeout, err := wire.ParseTimeout(r.Header)
	if err != nil {
		return req, invalid(http.StatusBadRequest, "timeout not accepted", err.Error())
	}
	req.Timeout = timeout
	var content wire.RequestBody
	if p := h.decode(w, r, &content); p != nil {
		return req, p
	}
	req.Parameters = content.Parameters
	req.Bytes = max(r.ContentLength, int64(len(content.Parameters)))
	return req, nil
}

// decode reads a JSON body of at most Limits.BodyBytes. An empty body leaves the
// destination unchanged.
func (h *handler) decode(w http.ResponseWriter, r *http.Request, dst any) *wire.Problem {
	limit := h.node.Settings().Limits.BodyBytes
	release := body.EndAtStop(h.node.Finish(), w, r)
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	release()
	if body.IsEnded(err) {
		return node.RejectInStop(wire.ParseKey(r.Header) != "" && !isFirstSend(r))
	}
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return invalid(http.StatusRequestEntityTooLarge, "body too large", fmt.Sprintf("body is over %d bytes; shorten the parameters or raise limits.body_bytes", limit))
	}
	if err != nil {
		return invalid(http.StatusBadRequest, "body not readable", err.Error())
	}
	if len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, dst); err != nil {
		return invalid(http.StatusBadRequest, "body is not valid JSON", fmt.Sprintf(`%v; send {"parameters": {...}}`, err))
	}
	return nil
}

func (h *handler) keys(w http.ResponseWriter, r *http.Request) {
	count := 1
	if v := r.URL.Query().Get("count"); v != "" {
		n, err := strconv.Atoi(v)
		if err != nil || n < 1 || n > maxKeys {
			invalid(http.StatusBadRequest, "count not accepted", fmt.Sprintf("count is %q; ask for 1 to %d keys", v, maxKeys)).Write(w)
			return
		}
		count = n
	}
	list, ok := h.node.IssueKeys(count)
	if !ok {
		p := &wire.Problem{Status: http.StatusServiceUnavailable, Kind: wire.KindNotRun, Title: "node is leaving", Detail: "this node issues no more keys; ask another"}
		p.Write(w)
		return
	}
	respond(w, wire.Keys{Keys: list})
}

func (h *handler) health(w http.ResponseWriter, _ *http.Request) {
	respond(w, map[string]string{"state": h.node.State().String()})
}

// ready reports to the load balancer whether this node accepts requests.
func (h *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !h.node.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	respond(w, map[string]bool{"ready": h.node.Ready()})
}

func notFound(w http.ResponseWriter, r *http.Request) {
	invalid(http.StatusNotFound, "no such path", fmt.Sprintf("nothing is served at %s; see docs/OPERATIONS.md for the paths", r.URL.Path)).Write(w)
}

func notAllowed(w http.ResponseWriter, r *http.Request) {
	invalid(http.StatusMethodNotAllowed, "method not allowed", fmt.Sprintf("%s is not served at %s", r.Method, r.URL.Path)).Write(w)
}

func invalid(status int, title, detail string) *wire.Problem {
	return &wire.Problem{Status: status, Kind: wire.KindInvalid, Title: title, Detail: detail}
}

func respond(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
