package main

import (
	"os/exec"
	"testing"
)

// A planned stop whose successor starts at once must not look as if the process
// had ended by itself (seed 5004).
func TestStopIsNotTakenForAnEndByItself(t *testing.T) {
	truth := newTruth()
	n := &node{world: &world{truth: truth}, name: "n"}
	for range 300 {
		cmd := exec.Command("sleep", "60")
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		ended := make(chan struct{})
		n.mu.Lock()
		n.process, n.ended, n.wanted = cmd, ended, true
		n.mu.Unlock()
		watched := make(chan struct{})
		go func() {
			n.watch(cmd, ended)
			close(watched)
		}()
		if !n.stop() {
			t.Fatal("stop() = false, want true")
		}
		n.want(true) // as the start of the next process does
		<-watched
	}
	if found := truth.found(); len(found) > 0 {
		t.Errorf("problems = %d, first %q, want none", len(found), found[0])
	}
}
