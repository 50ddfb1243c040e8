package main

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
)

// stream returns the output of go test -json for the events.
func stream(t *testing.T, events ...event) string {
	t.Helper()
	var b strings.Builder
	for _, ev := range events {
		line, err := json.Marshal(ev)
		if err != nil {
			t.Fatal(err)
		}
		b.Write(append(line, '\n'))
	}
	return b.String()
}

func ran(pkg, test, outcome, output string) []event {
	return []event{
		{Action: "run", Package: pkg, Test: test}, {Action: "output", Package: pkg, Test: test, Output: output},
		{Action: outcome, Package: pkg, Test: test},
	}
}

func pkgEnd(pkg, outcome, output string) []event {
	return []event{{Action: "output", Package: pkg, Output: output}, {Action: outcome, Package: pkg}}
}

// Only failures of exactly the listed tests may pass, and each listed test must run.
func TestOnlyListedFailuresPass(t *testing.T) {
	const list = "# a comment\n1. test: internal/a TestA\n   bound: a test: of three words\n   test: internal/a TestP/sub\n"
	passes := append(ran("m/internal/a", "TestA", "pass", ""), ran("m/internal/a", "TestP/sub", "pass", "")...)
	tests := []struct {
		name   string
		events [][]event
		red    bool
	}{
		{"all pass", [][]event{passes, pkgEnd("m/internal/a", "pass", "ok")}, false},
		{"listed test fails", [][]event{passes, ran("m/internal/a", "TestA", "fail", " a_test.go:3: x"), pkgEnd("m/internal/a", "fail", "FAIL")}, false},
		{"listed subtest fails its parent", [][]event{passes, ran("m/internal/a", "TestP/sub", "fail", " a_test.go:3: x"), ran("m/internal/a", "TestP", "fail", "--- FAIL: TestP"), pkgEnd("m/internal/a", "fail", "FAIL")}, false},
		{"parent of a listed subtest fails itself", [][]event{passes, ran("m/internal/a", "TestP/sub", "fail", ""), ran("m/internal/a", "TestP", "fail", "    a_test.go:9: y"), pkgEnd("m/internal/a", "fail", "FAIL")}, true},
		{"another test fails", [][]event{passes, ran("m/internal/a", "TestB", "fail", ""), pkgEnd("m/internal/a", "fail", "FAIL")}, true},
		{"same name in another package fails", [][]event{passes, ran("m/internal/b", "TestA", "fail", ""), pkgEnd("m/internal/b", "fail", "FAIL")}, true},
		{"listed test panics", [][]event{passes, ran("m/internal/a", "TestA", "fail", "panic: boom"), pkgEnd("m/internal/a", "fail", "FAIL")}, true},
		{"listed test has a data race", [][]event{passes, ran("m/internal/a", "TestA", "fail", "WARNING: DATA RACE"), pkgEnd("m/internal/a", "fail", "FAIL")}, true},
		{"listed test is not run", [][]event{ran("m/internal/a", "TestA", "pass", ""), pkgEnd("m/internal/a", "pass", "ok")}, true},
		{"listed test is skipped", [][]event{passes, ran("m/internal/a", "TestA", "skip", ""), pkgEnd("m/internal/a", "pass", "ok")}, true},
		{"a test does not finish", [][]event{passes, {{Action: "run", Package: "m/internal/a", Test: "TestC"}}, pkgEnd("m/internal/a", "fail", "FAIL")}, true},
		{"package does not build", [][]event{passes, {{Action: "build-fail", ImportPath: "m/internal/c"}}, pkgEnd("m/internal/a", "pass", "ok")}, true},
		{"package fails without a failed test", [][]event{passes, pkgEnd("m/internal/a", "fail", "exit status 66")}, true},
	}
	for _, tt := range tests {
		var events []event
		for _, part := range tt.events {
			events = append(events, part...)
		}
		var out strings.Builder
		err := judge(strings.NewReader(stream(t, events...)), &out, parseList(list, "m"))
		if got := errors.Is(err, errRed); got != tt.red {
			t.Errorf("%s: red = %v (%v), want %v\n%s", tt.name, got, err, tt.red, out.String())
		}
	}
}

// The output of a test whose process ended must be printed: it was dropped, and nothing showed
// why the process had ended.
func TestOutputOfUnfinishedTestIsPrinted(t *testing.T) {
	events := append(
		[]event{
			{Action: "run", Package: "m/a", Test: "TestEnds"},
			{Action: "output", Package: "m/a", Test: "TestEnds", Output: "fatal error: out of memory\n"},
		},
		pkgEnd("m/a", "fail", "FAIL")...)
	var out strings.Builder
	if err := judge(strings.NewReader(stream(t, events...)), &out, nil); !errors.Is(err, errRed) {
		t.Errorf("judge() = %v, want %v", err, errRed)
	}
	if got, want := out.String(), "fatal error: out of memory"; !strings.Contains(got, want) {
		t.Errorf("output = %q, want it to contain %q", got, want)
	}
}
