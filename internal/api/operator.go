package api

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"geraniumstep.org/geraniumstep/internal/node"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/config"
)

const (
	// HeaderOperator is the name of the operator for requests from loopback, if the
	// settings have no operators.
	HeaderOperator = "Geraniumstep-Operator"
	// HeaderBase is the revision of the object that the operator read, zero if the
	// object did not exist. Without it, the change applies to the current revision.
	HeaderBase = "Geraniumstep-Base"
	// HeaderChange is the identifier of a change. A retry with the same identifier
	// is recognized as the same change.
	HeaderChange = "Geraniumstep-Change"

	commitTimeout  = 10 * time.Second
	statusTimeout  = 3 * time.Second
	defaultHistory = 50
	maxHistory     = 1000
)

// Object is a configuration object in responses to operators.
type Object struct {
	Kind     config.Kind     `json:"kind"`
	Name     string          `json:"name"`
	Revision uint64          `json:"revision"`
	Spec     json.RawMessage `json:"spec"`
}

// Accepted is the response to an accepted change.
type Accepted struct {
	Sequence uint64 `json:"sequence"`
	ID       string `json:"id"`
}

// Status is the response to a status request.
type Status struct {
	Node  node.Status       `json:"node"`
	Peers []node.PeerStatus `json:"peers"`
}

func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	ctx, cancel := context.WithTimeout(r.Context(), statusTimeout)
	defer cancel()
	respond(w, Status{Node: h.node.Status(), Peers: h.node.PeerStatus(ctx)})
}

func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	after, err := queryNumber(r, "after", 0)
	if err != nil {
		invalid(http.StatusBadRequest, "after not accepted", err.Error()).Write(w)
		return
	}
	limit, err := queryNumber(r, "limit", defaultHistory)
	if err != nil {
		invalid(http.StatusBadRequest, "limit not accepted", err.Error()).Write(w)
		return
	}
	changes, err := h.node.History(r.Context(), after, int(min(limit, maxHistory)))
	if err != nil {
		storeUnavailable(err).Write(w)
		return
	}
	respond(w, changes)
}

func queryNumber(r *http.Request, name string, defaultValue uint64) (uint64, error) {
	v := r.URL.Query().Get(name)
	if v == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(v, 10, 32)
	if err != nil {
		return 0, fmt.Errorf("%s is %q; give a whole number", name, v)
	}
	return n, nil
}

func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	kind, p := kindOf(r)
	if p != nil {
		p.Write(w)
		return
	}
	objects := []Object{}
	state := h.node.Config()
	for _, name := range state.Names(kind) {
		spec, revision, _ := state.Spec(kind, name)
		objects = append(objects, Object{Kind: kind, Name: name, Revision: revision, Spec: spec})
	}
	respond(w, objects)
}

func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	kind, p := kindOf(r)
	if p != nil {
		p.Write(w)
		return
	}
	name := r.PathValue("name")
	spec, revision, ok := h.node.Config().Spec(kind, name)
	if !ok {
		invalid(http.StatusNotFound, "object not found", fmt.Sprintf("there is no %s %q; list them with 'geraniumstep list %s'", kind, name, kind)).Write(w)
		return
	}
	respond(w, Object{Kind: kind, Name: name, Revision: revision, Spec: spec})
}

func kindOf(r *http.Request) (config.Kind, *wire.Problem) {
	switch kind := config.Kind(r.PathValue("kind")); kind {
	case config.KindTemplate, config.KindWorkspace:
		return kind, nil
	default:
		return "", invalid(http.StatusNotFound, "kind not found", fmt.Sprintf("there is no kind %q; use template or workspace", kind))
	}
}

func (h *handler) put(w http.ResponseWriter, r *http.Request) {
	var spec json.RawMessage
	if p := h.decode(w, r, &spec); p != nil {
		p.Write(w)
		return
	}
	h.change(w, r, spec)
}

func (h *handler) retire(w http.ResponseWriter, r *http.Request) { h.change(w, r, nil) }

// change validates a change and commits it to the change log.
func (h *handler) change(w http.ResponseWriter, r *http.Request, spec json.RawMessage) {
	who, p := h.operator(r)
	if p != nil {
		p.Write(w)
		return
	}
	c, p := h.newChange(r, who, spec)
	if p != nil {
		p.Write(w)
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), commitTimeout)
	defer cancel()
	committed, err := h.node.Commit(ctx, c)
	if err != nil {
		commitProblem(err).Write(w)
		return
	}
	respond(w, Accepted{Sequence: committed.Sequence, ID: committed.ID})
}

func (h *handler) newChange(r *http.Request, who string, spec json.RawMessage) (config.Change, *wire.Problem) {
	kind, p := kindOf(r)
	if p != nil {
		return config.Change{}, p
	}
	name := r.PathValue("name")
	_, current, exists := h.node.Config().Spec(kind, name)
	if spec == nil && !exists {
		return config.Change{}, invalid(http.StatusNotFound, "object not found", fmt.Sprintf("there is no %s %q to retire", kind, name))
	}
	if spec != nil {
		specName, err := config.Check(kind, spec, 0)
		if err != nil {
			return config.Change{}, invalid(http.StatusUnprocessableEntity, "object not accepted", err.Error())
		}
		if specName != name {
			return config.Change{}, invalid(http.StatusUnprocessableEntity, "names differ", fmt.Sprintf("path names %q and the object %q; use one name", name, specName))
		}
	}
	base, err := baseOf(r, current)
	if err != nil {
		return config.Change{}, invalid(http.StatusBadRequest, "base not accepted", err.Error())
	}
	id := r.Header.Get(HeaderChange)
	if id == "" {
		id = uuid.NewString()
	}
	return config.Change{ID: id, Who: who, When: time.Now().UTC(), Kind: kind, Name: name, Base: base, After: spec}, nil
}

func baseOf(r *http.Request, current uint64) (uint64, error) {
	v := r.Header.Get(HeaderBase)
	if v == "" {
		return current, nil
	}
	return strconv.ParseUint(v, 10, 64)
}

func commitProblem(err error) *wire.Problem {
	var conflict *config.ConflictError
	switch {
	case errors.As(err, &conflict):
		w := conflict.Winner()
		return &wire.Problem{Status: http.StatusConflict, Kind: wire.KindConflict, Title: "another change went first",
			Detail: conflict.Error(), Winner: fmt.Sprintf("change %d by %s", w.Sequence, w.Who)}
	case errors.Is(err, config.ErrUnresolved):
		return &wire.Problem{Status: http.StatusGatewayTimeout, Kind: wire.KindUnknown, Title: "outcome not known", Detail: config.ErrUnresolved.Error()}
	}
	return storeUnavailable(err)
}

func storeUnavailable(err error) *wire.Problem {
	return &wire.Problem{Status: http.StatusServiceUnavailable, Kind: wire.KindNotRun, Title: "platform's store did not answer", Detail: err.Error(), RetryAfter: time.Second}
}

// operator returns the name of the operator who requests a change.
func (h *handler) operator(r *http.Request) (string, *wire.Problem) {
	operators := h.node.Settings().Operators
	if len(operators) == 0 {
		return loopbackOperator(r)
	}
	token, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	sum := sha256.Sum256([]byte(token))
	digest := hex.EncodeToString(sum[:])
	for _, o := range operators {
		if ok && subtle.ConstantTimeCompare([]byte(strings.ToLower(o.TokenSHA256)), []byte(digest)) == 1 {
			return o.Name, nil
		}
	}
	return "", invalid(http.StatusUnauthorized, "operator not known", "send a bearer token whose SHA-256 is under operators in the settings")
}

func loopbackOperator(r *http.Request) (string, *wire.Problem) {
	host, _, err := net.SplitHostPort(r.RemoteAddr)
	if err != nil || !net.ParseIP(host).IsLoopback() {
		return "", invalid(http.StatusForbidden, "operator not known", "without operators in the settings, changes are accepted from loopback only")
	}
	if name := r.Header.Get(HeaderOperator); name != "" {
		return name, nil
	}
	return "loopback", nil
}
