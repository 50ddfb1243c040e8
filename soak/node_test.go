package main

import (
	"os/exec"
	"testing"
)

// A planned stop must not be reported as an unexpected exit if the next process is
// started as soon as the old one has exited: watch reads shouldRun before it closes
// the channel that stop waits for (seed 5004).
func TestStopIsNotReportedAsUnexpectedExit(t *testing.T) {
	checker := newChecker()
	n := &node{env: &testEnv{checker: checker}, name: "n"}
	for range 300 {
		cmd := exec.Command("sleep", "60")
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		exited := make(chan struct{})
		n.mu.Lock()
		n.process, n.exited, n.shouldRun = cmd, exited, true
		n.mu.Unlock()
		watched := make(chan struct{})
		go func() {
			n.watch(cmd, exited)
			close(watched)
		}()
		if !n.stop() {
			t.Fatal("stop() = false, want true")
		}
		n.setShouldRun(true) // as start does for the next process
		<-watched
	}
	if found := checker.listViolations(); len(found) > 0 {
		t.Errorf("violations = %d, first %q, want none", len(found), found[0])
	}
}
