// Package config holds the objects that operators write, which are templates and
// workspaces, and the log of their changes. The log is totally ordered, each change
// is conditional on the revision that its author read, and the log itself is the
// audit trail.
//
//	s := config.NewState()
//	s, err := s.Apply(change)
//	t, ok := s.Template("seats")
package config

import (
	"encoding/json"
	"fmt"
	"regexp"
	"slices"
	"time"

	"github.com/ansel1/merry/v2"

	"geraniumstep.org/geraniumstep/pkg/prio"
	"geraniumstep.org/geraniumstep/pkg/search"
)

// Kind is the kind of an object.
type Kind string

// The kinds of objects.
const (
	KindTemplate  Kind = "template"
	KindWorkspace Kind = "workspace"
)

// ErrInvalid is returned for an object that is not valid. The message states the
// remedy.
var ErrInvalid = merry.New("invalid object")

const (
	maxLimit     = 10_000
	defaultLimit = 100
	maxDeadline  = 10 * time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// TemplateSpec is the serialized form of a template.
type TemplateSpec struct {
	Name string `yaml:"name" json:"name"`
	// Archives lists the archives that a search covers. A non-idempotent
	// template has exactly one.
	Archives []string     `yaml:"archives" json:"archives"`
	Merge    search.Merge `yaml:"merge" json:"merge"`
	Limit    int          `yaml:"limit,omitempty" json:"limit,omitempty"`
	// Idempotent is false for requests that must run at most once. Such a
	// request is sent to a single shard, which is selected by the value of
	// the parameter that Partition names.
	Idempotent bool     `yaml:"idempotent" json:"idempotent"`
	Partition  string   `yaml:"partition,omitempty" json:"partition,omitempty"`
	Parameters []string `yaml:"parameters,omitempty" json:"parameters,omitempty"`
}

// WorkspaceSpec is the serialized form of a workspace.
type WorkspaceSpec struct {
	Name     string        `yaml:"name" json:"name"`
	Archives []string      `yaml:"archives" json:"archives"`
	Priority prio.Priority `yaml:"priority" json:"priority"`
	// Target is the workspace's target latency. With Prefer set to latency,
	// an answer that covers at least the fraction Coverage of the shards is
	// returned at the target; with Prefer set to coverage, all shards are
	// awaited until the deadline.
	Target   Duration       `yaml:"target" json:"target"`
	Deadline Duration       `yaml:"deadline" json:"deadline"`
	Prefer   Preference     `yaml:"prefer" json:"prefer"`
	Coverage float64        `yaml:"coverage,omitempty" json:"coverage,omitempty"`
	Defaults map[string]any `yaml:"defaults,omitempty" json:"defaults,omitempty"`
}

// Preference selects which of latency and coverage takes precedence when a request
// cannot achieve both.
type Preference string

// The preferences.
const (
	PreferLatency  Preference = "latency"
	PreferCoverage Preference = "coverage"
)

// Duration is a time.Duration that is serialized as in "150ms".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q is not understood; write it as in 150ms or 2s", text)
	}
	*d = Duration(parsed)
	return nil
}

// Template is a validated template.
type Template struct {
	spec     TemplateSpec
	revision uint64
}

// NewTemplate validates the spec and returns the template.
func NewTemplate(spec TemplateSpec, revision uint64) (*Template, error) {
	switch {
	case !namePattern.MatchString(spec.Name):
		return nil, invalidName(KindTemplate, spec.Name)
	case len(spec.Archives) == 0:
		return nil, invalid("template %q reaches no archive; name at least one under archives", spec.Name)
	case spec.Limit < 0 || spec.Limit > maxLimit:
		return nil, invalid("template %q has limit %d; choose 1 to %d", spec.Name, spec.Limit, maxLimit)
	case !spec.Idempotent && len(spec.Archives) != 1:
		return nil, invalid("template %q is not idempotent and reaches %d archives; name exactly one", spec.Name, len(spec.Archives))
	case !spec.Idempotent && !slices.Contains(spec.Parameters, spec.Partition):
		return nil, invalid("template %q is not idempotent and partition %q is none of its parameters; name the parameter that chooses the shard", spec.Name, spec.Partition)
	}
	switch spec.Merge {
	case search.MergeConcat, search.MergeSum, search.MergeTopK:
	case "":
		spec.Merge = search.MergeConcat
	default:
		return nil, invalid("template %q has merge %q; use concat, top-k or sum", spec.Name, spec.Merge)
	}
	if spec.Limit == 0 {
		spec.Limit = defaultLimit
	}
	return &Template{spec: spec, revision: revision}, nil
}

// Name returns the template's name.
func (t *Template) Name() string { return t.spec.Name }

// Archives returns the archives that the template covers.
func (t *Template) Archives() []string { return t.spec.Archives }

// Merge returns the rule for merging the hits into one answer.
func (t *Template) Merge() search.Merge { return t.spec.Merge }

// Limit returns the maximum number of hits in a top-k answer.
func (t *Template) Limit() int { return t.spec.Limit }

// Idempotent reports whether a request may run more than once.
func (t *Template) Idempotent() bool { return t.spec.Idempotent }

// Partition returns the name of the parameter that selects the shard of a
// non-idempotent request.
func (t *Template) Partition() string { return t.spec.Partition }

// Parameters returns the names of the parameters that a caller may set.
func (t *Template) Parameters() []string { return t.spec.Parameters }

// Revision returns the sequence of the change that last wrote the template.
func (t *Template) Revision() uint64 { return t.revision }

// Workspace is a validated workspace.
type Workspace struct {
	spec     WorkspaceSpec
	revision uint64
}

// NewWorkspace validates the spec and returns the workspace.
func NewWorkspace(spec WorkspaceSpec, revision uint64) (*Workspace, error) {
	target, deadline := time.Duration(spec.Target), time.Duration(spec.Deadline)
	switch {
	case !namePattern.MatchString(spec.Name):
		return nil, invalidName(KindWorkspace, spec.Name)
	case target <= 0:
		return nil, invalid("workspace %q has no target; set a latency such as 150ms", spec.Name)
	case deadline < target || deadline > maxDeadline:
		return nil, invalid("workspace %q has deadline %v; choose between its target %v and %v", spec.Name, deadline, target, maxDeadline)
	case spec.Coverage < 0 || spec.Coverage > 1:
		return nil, invalid("workspace %q has coverage %v; choose 0 to 1", spec.Name, spec.Coverage)
	}
	switch spec.Prefer {
	case PreferLatency, PreferCoverage:
	default:
		return nil, invalid("workspace %q prefers %q; use latency or coverage", spec.Name, spec.Prefer)
	}
	return &Workspace{spec: spec, revision: revision}, nil
}

// Name returns the workspace's name.
func (w *Workspace) Name() string { return w.spec.Name }

// Allows reports whether the workspace may use the archive.
func (w *Workspace) Allows(archive string) bool { return slices.Contains(w.spec.Archives, archive) }

// Priority returns the priority of the workspace's requests.
func (w *Workspace) Priority() prio.Priority { return w.spec.Priority }

// Target returns the workspace's target latency.
func (w *Workspace) Target() time.Duration { return time.Duration(w.spec.Target) }

// Deadline returns the maximum duration of a request.
func (w *Workspace) Deadline() time.Duration { return time.Duration(w.spec.Deadline) }

// Prefer returns which of latency and coverage takes precedence.
func (w *Workspace) Prefer() Preference { return w.spec.Prefer }

// Coverage returns the minimum fraction of shards that an answer at the target
// must cover.
func (w *Workspace) Coverage() float64 { return w.spec.Coverage }

// Defaults returns the values of parameters that a request does not set.
func (w *Workspace) Defaults() map[string]any { return w.spec.Defaults }

// Revision returns the sequence of the change that last wrote the workspace.
func (w *Workspace) Revision() uint64 { return w.revision }

func invalidName(kind Kind, name string) error {
	return invalid("%s name %q is not allowed; use 1 to 63 lower-case letters, digits and inner hyphens", kind, name)
}

func invalid(format string, args ...any) error {
	return merry.Prepend(ErrInvalid, fmt.Sprintf(format, args...))
}

// Check decodes and validates the serialized form of an object and returns its
// name.
func Check(kind Kind, spec json.RawMessage, revision uint64) (name string, err error) {
	switch kind {
	case KindTemplate:
		t, err := decodeTemplate(spec, revision)
		if err != nil {
			return "", err
		}
		return t.Name(), nil
	case KindWorkspace:
		w, err := decodeWorkspace(spec, revision)
		if err != nil {
			return "", err
		}
		return w.Name(), nil
	}
	return "", invalid("unknown kind %q; use template or workspace", kind)
}

func decodeTemplate(spec json.RawMessage, revision uint64) (*Template, error) {
	var s TemplateSpec
	if err := json.Unmarshal(spec, &s); err != nil {
		return nil, invalid("template is not readable: %v", err)
	}
	return NewTemplate(s, revision)
}

func decodeWorkspace(spec json.RawMessage, revision uint64) (*Workspace, error) {
	var s WorkspaceSpec
	if err := json.Unmarshal(spec, &s); err != nil {
		return nil, invalid("workspace is not readable: %v", err)
	}
	return NewWorkspace(s, revision)
}
