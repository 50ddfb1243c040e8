package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/config"
	"geraniumstep.org/geraniumstep/pkg/gate"
	"geraniumstep.org/geraniumstep/pkg/layout"
	"geraniumstep.org/geraniumstep/pkg/poison"
)

// Request is a caller's request, as read from HTTP.
type Request struct {
	Workspace  string
	Template   string
	Parameters map[string]any
	// Timeout is the time that the caller allows, or zero.
	Timeout time.Duration
	// Bytes is the size of the body.
	Bytes int64
	// Trace is the caller's own identifier of the request, for logs.
	Trace string
	// Key and First are for non-idempotent requests.
	Key       string
	FirstSend bool
}

// resolved is a request with everything that one configuration says of it.
type resolved struct {
	template  *config.Template
	workspace *config.Workspace
	params    []byte
	values    map[string]any
	arrived   time.Time
	deadline  time.Time
	print     poison.Fingerprint
	trace     string
}

// resolve checks a request against one configuration.
func (n *Node) resolve(req Request) (*resolved, *wire.Problem) {
	conf := n.Config()
	w, ok := conf.Workspace(req.Workspace)
	if !ok {
		return nil, notFound("workspace", req.Workspace)
	}
	t, ok := conf.Template(req.Template)
	if !ok {
		return nil, notFound("template", req.Template)
	}
	for _, archive := range t.Archives() {
		if !w.Reaches(archive) {
			return nil, problem(http.StatusForbidden, wire.KindInvalid, "archive not allowed",
				fmt.Sprintf("workspace %q does not reach archive %q of template %q; ask an operator to add it under archives", w.Name(), archive, t.Name()))
		}
	}
	values, p := mergeParameters(t, w, req.Parameters)
	if p != nil {
		return nil, p
	}
	params, err := json.Marshal(values)
	if err != nil {
		return nil, problem(http.StatusBadRequest, wire.KindInvalid, "parameters not readable", err.Error())
	}
	r := &resolved{template: t, workspace: w, params: params, values: values, arrived: time.Now(), trace: req.Trace}
	allowed := w.Deadline()
	if req.Timeout > 0 {
		allowed = min(allowed, req.Timeout)
	}
	r.deadline = r.arrived.Add(allowed)
	r.print = poison.Of(t.Name(), w.Name(), string(params))
	return r, nil
}

// mergeParameters adds the workspace's defaults to what the caller gave.
func mergeParameters(t *config.Template, w *config.Workspace, given map[string]any) (map[string]any, *wire.Problem) {
	values := make(map[string]any, len(given))
	for _, name := range t.Parameters() {
		if v, ok := given[name]; ok {
			values[name] = v
		} else if v, ok := w.Defaults()[name]; ok {
			values[name] = v
		}
	}
	for name := range given {
		if _, ok := values[name]; !ok {
			return nil, problem(http.StatusBadRequest, wire.KindInvalid, "unknown parameter",
				fmt.Sprintf("template %q has no parameter %q; it has %v", t.Name(), name, t.Parameters()))
		}
	}
	return values, nil
}

// checkFanOut bounds how many shards one request reaches.
func (n *Node) checkFanOut(r *resolved, c *layout.Catalogue) *wire.Problem {
	shards := 0
	for _, name := range r.template.Archives() {
		a, ok := c.Archive(name)
		if !ok {
			return problem(http.StatusNotFound, wire.KindInvalid, "archive not found",
				fmt.Sprintf("template %q names archive %q, which catalogue %d does not have; the catalogue has %v", r.template.Name(), name, c.Revision(), archiveNames(c)))
		}
		shards += len(a.Shards())
	}
	if shards > n.set.Limits.FanOut {
		return problem(http.StatusUnprocessableEntity, wire.KindInvalid, "too many shards",
			fmt.Sprintf("template %q reaches %d shards and limits.fan_out is %d; use fewer archives or raise the limit", r.template.Name(), shards, n.set.Limits.FanOut))
	}
	return nil
}

func archiveNames(c *layout.Catalogue) []string {
	var names []string
	for _, a := range c.Spec().Archives {
		names = append(names, a.Name)
	}
	sort.Strings(names)
	return names
}

func problem(status int, kind, title, detail string) *wire.Problem {
	return &wire.Problem{Status: status, Kind: kind, Title: title, Detail: detail}
}

func notFound(kind, name string) *wire.Problem {
	return problem(http.StatusNotFound, wire.KindInvalid, kind+" not found",
		fmt.Sprintf("there is no %s %q; list them with 'geraniumstep list %s'", kind, name, kind))
}

// notRun refuses a request that no upstream has seen.
func notRun(why string, retry time.Duration) *wire.Problem {
	p := problem(http.StatusServiceUnavailable, wire.KindNotRun, "request not run", why)
	p.RetryAfter = max(retry, minRetryAfter)
	return p
}

// unknown tells that a request may have run.
func unknown(why string) *wire.Problem {
	return problem(http.StatusGatewayTimeout, wire.KindUnknown, "outcome not known", why)
}

func quarantined() *wire.Problem {
	p := problem(http.StatusUnprocessableEntity, wire.KindQuarantined, "request quarantined",
		"equal requests have crashed upstreams; change the parameters, or ask an operator to look at the upstreams' logs")
	p.RetryAfter = quarantineRetry
	return p
}

// refusedAtDoor explains a refusal by the admission.
func refusedAtDoor(r gate.Refuse) *wire.Problem {
	switch r.Reason {
	case gate.ReasonLate, gate.ReasonExpired:
		return notRun("deadline cannot be met at the present load; try again later or allow more time", r.RetryAfter)
	default:
		return notRun("node is at its limit for this priority; try again later", r.RetryAfter)
	}
}

const (
	minRetryAfter   = time.Second
	quarantineRetry = 10 * time.Minute
)
