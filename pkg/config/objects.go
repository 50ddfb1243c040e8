// Package config holds what operators write, templates and workspaces, and the
// log of their changes: one total order, each change conditional on what its
// author saw, the log itself being the audit trail.
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

// Kind names a kind of object.
type Kind string

// The kinds of objects.
const (
	KindTemplate  Kind = "template"
	KindWorkspace Kind = "workspace"
)

// ErrInvalid marks an object that breaks a rule; its message names the remedy.
var ErrInvalid = merry.New("invalid object")

const (
	maxLimit       = 10_000
	defaultLimit   = 100
	longestTimeout = 10 * time.Minute
)

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

// TemplateSpec is the written form of a template.
type TemplateSpec struct {
	Name string `yaml:"name" json:"name"`
	// Archives are the archives that a search reaches, of which a
	// non-idempotent template has exactly one.
	Archives []string     `yaml:"archives" json:"archives"`
	Merge    search.Merge `yaml:"merge" json:"merge"`
	Limit    int          `yaml:"limit,omitempty" json:"limit,omitempty"`
	// Idempotent is false for requests that must run at most once. Such a
	// request goes to the one shard that the value of the parameter named
	// by Partition chooses.
	Idempotent bool     `yaml:"idempotent" json:"idempotent"`
	Partition  string   `yaml:"partition,omitempty" json:"partition,omitempty"`
	Parameters []string `yaml:"parameters,omitempty" json:"parameters,omitempty"`
}

// WorkspaceSpec is the written form of a workspace.
type WorkspaceSpec struct {
	Name     string        `yaml:"name" json:"name"`
	Archives []string      `yaml:"archives" json:"archives"`
	Priority prio.Priority `yaml:"priority" json:"priority"`
	// Target is the latency that the workspace wants. With Prefer latency an
	// answer with at least Coverage of the shards is given at the target;
	// with Prefer coverage all shards are awaited until the deadline.
	Target   Duration       `yaml:"target" json:"target"`
	Deadline Duration       `yaml:"deadline" json:"deadline"`
	Prefer   Preference     `yaml:"prefer" json:"prefer"`
	Coverage float64        `yaml:"coverage,omitempty" json:"coverage,omitempty"`
	Defaults map[string]any `yaml:"defaults,omitempty" json:"defaults,omitempty"`
}

// Preference tells what a workspace gives up first.
type Preference string

// The preferences.
const (
	PreferLatency  Preference = "latency"
	PreferCoverage Preference = "coverage"
)

// Duration is a time.Duration written as in "150ms".
type Duration time.Duration

// MarshalText writes the duration.
func (d Duration) MarshalText() ([]byte, error) { return []byte(time.Duration(d).String()), nil }

// UnmarshalText reads a duration.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q is not understood; write it as in 150ms or 2s", text)
	}
	*d = Duration(parsed)
	return nil
}

// Template is a checked template.
type Template struct {
	spec     TemplateSpec
	revision uint64
}

// NewTemplate checks a template.
func NewTemplate(spec TemplateSpec, revision uint64) (*Template, error) {
	switch {
	case !namePattern.MatchString(spec.Name):
		return nil, badName(KindTemplate, spec.Name)
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

// Name is the template's name.
func (t *Template) Name() string { return t.spec.Name }

// Archives lists the archives that the template reaches.
func (t *Template) Archives() []string { return t.spec.Archives }

// Merge is the rule by which hits become one answer.
func (t *Template) Merge() search.Merge { return t.spec.Merge }

// Limit bounds the hits of a top-k answer.
func (t *Template) Limit() int { return t.spec.Limit }

// Idempotent tells whether a request may run more than once.
func (t *Template) Idempotent() bool { return t.spec.Idempotent }

// Partition names the parameter that chooses the shard of a non-idempotent request.
func (t *Template) Partition() string { return t.spec.Partition }

// Parameters lists the parameters that a caller may give.
func (t *Template) Parameters() []string { return t.spec.Parameters }

// Revision is the change that last wrote the template.
func (t *Template) Revision() uint64 { return t.revision }

// Workspace is a checked workspace.
type Workspace struct {
	spec     WorkspaceSpec
	revision uint64
}

// NewWorkspace checks a workspace.
func NewWorkspace(spec WorkspaceSpec, revision uint64) (*Workspace, error) {
	target, deadline := time.Duration(spec.Target), time.Duration(spec.Deadline)
	switch {
	case !namePattern.MatchString(spec.Name):
		return nil, badName(KindWorkspace, spec.Name)
	case target <= 0:
		return nil, invalid("workspace %q has no target; set a latency such as 150ms", spec.Name)
	case deadline < target || deadline > longestTimeout:
		return nil, invalid("workspace %q has deadline %v; choose between its target %v and %v", spec.Name, deadline, target, longestTimeout)
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

// Name is the workspace's name.
func (w *Workspace) Name() string { return w.spec.Name }

// Allows tells whether the workspace may use the archive.
func (w *Workspace) Allows(archive string) bool { return slices.Contains(w.spec.Archives, archive) }

// Priority is the rank of the workspace's requests.
func (w *Workspace) Priority() prio.Priority { return w.spec.Priority }

// Target is the latency that the workspace wants.
func (w *Workspace) Target() time.Duration { return time.Duration(w.spec.Target) }

// Deadline is the longest that a request may take.
func (w *Workspace) Deadline() time.Duration { return time.Duration(w.spec.Deadline) }

// Prefer tells what the workspace gives up first.
func (w *Workspace) Prefer() Preference { return w.spec.Prefer }

// Coverage is the least share of shards for an answer at the target.
func (w *Workspace) Coverage() float64 { return w.spec.Coverage }

// Defaults are the parameters that requests do not give.
func (w *Workspace) Defaults() map[string]any { return w.spec.Defaults }

// Revision is the change that last wrote the workspace.
func (w *Workspace) Revision() uint64 { return w.revision }

func badName(kind Kind, name string) error {
	return invalid("%s name %q is not allowed; use 1 to 63 lower-case letters, digits and inner hyphens", kind, name)
}

func invalid(format string, args ...any) error {
	return merry.Prepend(ErrInvalid, fmt.Sprintf(format, args...))
}

// Check decodes and checks the stored form of an object.
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
