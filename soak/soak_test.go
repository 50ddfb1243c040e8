package main

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"
)

// TestShortSoak runs one seed with a binary built from the current source.
func TestShortSoak(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes")
	}
	program := filepath.Join(t.TempDir(), "geraniumstep")
	if out, err := exec.Command("go", "build", "-o", program, "../cmd/geraniumstep").CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	o := options{program: program, seed: 7, duration: 10 * time.Second, nodes: 3, kinds: len(faults)}
	if err := soak(context.Background(), o, t.Output()); err != nil {
		t.Errorf("soak of seed %d = %v, want nil", o.seed, err)
	}
}
