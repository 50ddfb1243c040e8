package main

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// A listed failure must pass through the whole pipeline, not only through the judge, and
// any other failure must end it with an error.
func TestPipelinePassesListedFailuresOnly(t *testing.T) {
	script, err := filepath.Abs("judge.sh")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	judge := filepath.Join(dir, "known")
	if out, err := exec.Command("go", "build", "-o", judge, ".").CombinedOutput(); err != nil {
		t.Fatalf("build the judge: %v\n%s", err, out)
	}
	write := func(name, text string) {
		path := filepath.Join(dir, name)
		if err := os.MkdirAll(filepath.Dir(path), 0o700); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write("go.mod", "module m\n\ngo 1.24\n")
	write("a/a_test.go", "package a\n\nimport \"testing\"\n\nfunc TestA(t *testing.T) { t.Error(\"x\") }\n")
	write("b/b_test.go", "package b\n\nimport \"testing\"\n\nfunc TestB(t *testing.T) {}\n")
	write("c/c_test.go", "package c\n\nfunc broken(\n")
	write("listed", "1. test: a TestA\n")
	write("empty", "")
	tests := []struct {
		name, list string
		args       []string
		passes     bool
	}{
		{"all pass", "empty", []string{"./b"}, true},
		{"listed test fails", "listed", []string{"./a", "./b"}, true},
		{"test that is not listed fails", "empty", []string{"./a", "./b"}, false},
		{"listed test is not run", "listed", []string{"./b"}, false},
		{"package does not build", "listed", []string{"./a", "./b", "./c"}, false},
		{"go test cannot start", "empty", []string{"-nosuchflag"}, false},
		{"no package", "empty", []string{"./none"}, false},
	}
	for _, tt := range tests {
		cmd := exec.Command(script, append([]string{judge + " --module m", filepath.Join(dir, tt.list)}, tt.args...)...)
		cmd.Dir = dir
		out, err := cmd.CombinedOutput()
		if got := err == nil; got != tt.passes {
			t.Errorf("%s: passes = %v (%v), want %v\n%s", tt.name, got, err, tt.passes, out)
		}
	}
}
