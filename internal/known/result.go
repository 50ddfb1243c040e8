package main

import (
	"cmp"
	"fmt"
	"regexp"
	"slices"
	"strings"
)

// event is one line of the output of go test -json.
type event struct {
	Action     string `json:"Action"`
	Package    string `json:"Package"`
	ImportPath string `json:"ImportPath"`
	Test       string `json:"Test"`
	Output     string `json:"Output"`
}

// outcomeUnfinished is the outcome of a test that has started and not ended.
const outcomeUnfinished = "unfinished"

// results holds the output and the outcome of each test and package.
type results struct {
	output   map[testID]*strings.Builder
	outcomes map[testID]string
}

func newResults() *results {
	return &results{output: make(map[testID]*strings.Builder), outcomes: make(map[testID]string)}
}

// add records an event.
func (r *results) add(ev event) {
	id := testID{cmp.Or(ev.Package, ev.ImportPath), ev.Test}
	switch ev.Action {
	case "run":
		r.outcomes[id] = outcomeUnfinished
	case "pass", "fail", "skip":
		r.outcomes[id] = ev.Action
	case "build-fail":
		r.outcomes[id] = "fail"
	case "output", "build-output":
		if r.output[id] == nil {
			r.output[id] = new(strings.Builder)
		}
		r.output[id].WriteString(ev.Output)
	}
}

// text returns what to print for an event: the output of a package as it comes, and the
// whole output of a test when it has failed.
func (r *results) text(ev event) string {
	id := testID{cmp.Or(ev.Package, ev.ImportPath), ev.Test}
	if ev.Test == "" {
		return ev.Output
	}
	return r.outputOf(id)
}

func (r *results) outputOf(id testID) string {
	if b := r.output[id]; b != nil {
		return b.String()
	}
	return ""
}

// unfinished returns the tests that did not finish. If their process ended, their output
// shows why.
func (r *results) unfinished() []testID {
	var ids []testID
	for id, outcome := range r.outcomes {
		if id.name != "" && outcome == outcomeUnfinished {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b testID) int {
		return cmp.Or(cmp.Compare(a.pkg, b.pkg), cmp.Compare(a.name, b.name))
	})
	return ids
}

// outcome returns how a test ended.
func (r *results) outcome(id testID) string { return cmp.Or(r.outcomes[id], "not run") }

// failedLine matches a message that a test has written itself.
var failedLine = regexp.MustCompile(`(?m)^\s+\w+_test\.go:\d+: `)

// unlisted returns the problems that the list does not cover.
func (r *results) unlisted(known map[testID]bool) []string {
	var red []string
	for id, outcome := range r.outcomes {
		switch {
		case id.name == "" && outcome == "fail" && !r.failsByListed(id.pkg, known):
			red = append(red, id.pkg+" failed other than by a listed test")
		case id.name != "" && outcome == outcomeUnfinished:
			red = append(red, fmt.Sprintf("%s %s did not finish", id.pkg, id.name))
		case id.name != "" && outcome == "fail" && !r.covered(id, known):
			red = append(red, fmt.Sprintf("%s %s failed", id.pkg, id.name))
		}
	}
	if len(r.outcomes) == 0 {
		red = append(red, "no test has run")
	}
	for id := range known {
		if o := r.outcome(id); o != "pass" && o != "fail" {
			red = append(red, fmt.Sprintf("%s %s is listed, but its outcome is: %s", id.pkg, id.name, o))
		}
	}
	slices.Sort(red)
	return red
}

// covered reports whether a failed test is listed, or failed only because a listed
// subtest did.
func (r *results) covered(id testID, known map[testID]bool) bool {
	text := r.outputOf(id)
	if strings.Contains(text, "panic: ") || strings.Contains(text, "DATA RACE") {
		return false
	}
	if known[id] {
		return true
	}
	if failedLine.MatchString(text) {
		return false
	}
	return r.anyFailed(func(sub testID) bool {
		return sub.pkg == id.pkg && strings.HasPrefix(sub.name, id.name+"/") && known[sub]
	})
}

// failsByListed reports whether a listed test of the package has failed and its output
// shows no other failure.
func (r *results) failsByListed(pkg string, known map[testID]bool) bool {
	if text := r.outputOf(testID{pkg: pkg}); strings.Contains(text, "panic: ") || strings.Contains(text, "DATA RACE") {
		return false
	}
	return r.anyFailed(func(id testID) bool { return id.pkg == pkg && known[id] })
}

// anyFailed reports whether a test that matches has failed.
func (r *results) anyFailed(matches func(id testID) bool) bool {
	for id, outcome := range r.outcomes {
		if outcome == "fail" && matches(id) {
			return true
		}
	}
	return false
}
