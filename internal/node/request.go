package node

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"time"

	"geraniumstep.org/geraniumstep/internal/peer"
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
	// Timeout is the caller's timeout. Zero means that only the deadline of the
	// workspace applies.
	Timeout time.Duration
	// Bytes is the size of the body.
	Bytes int64
	// Trace is the caller's identifier of the request, for logs.
	Trace string
	// Key is the idempotency key of a submission, and FirstSend marks its first
	// send. Searches use neither.
	Key       string
	FirstSend bool
}

// resolved is a request together with its template, workspace and derived values
// from one configuration.
type resolved struct {
	template    *config.Template
	workspace   *config.Workspace
	params      []byte
	values      map[string]any
	arrived     time.Time
	deadline    time.Time
	fingerprint poison.Fingerprint
	trace       string
}

// resolve validates a request against the configuration in effect.
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
		if !w.Allows(archive) {
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
	r.deadline = n.finish.Clip(r.arrived.Add(allowed))
	r.fingerprint = poison.FingerprintOf(params, t.Name(), w.Name())
	return r, nil
}

// mergeParameters adds the defaults of the workspace to the given parameters and
// rejects parameters that the template does not have.
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

// checkFanOut rejects a request that reaches more than limits.fan_out shards.
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
	if shards > n.settings.Limits.FanOut {
		return problem(http.StatusUnprocessableEntity, wire.KindInvalid, "too many shards",
			fmt.Sprintf("template %q reaches %d shards and limits.fan_out is %d; use fewer archives or raise the limit", r.template.Name(), shards, n.settings.Limits.FanOut))
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

// notRun returns the problem for a request that no upstream has run.
func notRun(detail string, retry time.Duration) *wire.Problem {
	p := problem(http.StatusServiceUnavailable, wire.KindNotRun, "request not run", detail)
	p.RetryAfter = max(retry, minRetryAfter)
	return p
}

// unknown returns the problem for a request that may have run.
func unknown(detail string) *wire.Problem {
	return problem(http.StatusGatewayTimeout, wire.KindUnknown, "outcome not known", detail)
}

// rejectQuarantined returns the problem for a request if equal ones have crashed
// upstreams, and nil otherwise.
func (n *Node) rejectQuarantined(f poison.Fingerprint) *wire.Problem {
	if n.tracker.Verdict(f) != poison.Quarantined {
		return nil
	}
	n.tracker.RecordRejection(f)
	return n.quarantined(f)
}

func (n *Node) quarantined(f poison.Fingerprint) *wire.Problem {
	p := problem(http.StatusUnprocessableEntity, wire.KindQuarantined, "request quarantined",
		"equal requests have crashed upstreams; change the parameters, or ask an operator to look at the upstreams' logs")
	p.RetryAfter = n.tracker.Remaining(f)
	return p
}

// recordSuccess records that an upstream has completed a request with the fingerprint,
// and notifies the other nodes if that clears a suspect.
func (n *Node) recordSuccess(f poison.Fingerprint) {
	if reports := n.tracker.RecordSuccess(f); len(reports) > 0 {
		n.broadcast(peer.Notices{Reports: reports})
	}
}

// admissionProblem returns the problem for a search rejected by admission control.
func admissionProblem(r gate.Refuse) *wire.Problem {
	switch r.Reason {
	case gate.ReasonLate, gate.ReasonExpired:
		return notRun("deadline cannot be met at the present load; try again later or allow more time", r.RetryAfter)
	default:
		return notRun("node is at its limit for this priority; try again later", r.RetryAfter)
	}
}

const minRetryAfter = time.Second
