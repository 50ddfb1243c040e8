package main

import (
	"context"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"sync"
	"testing"
	"time"
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

// A node that stops must leave the rotation although all its callers wait for slow responses
// and send nothing (seed 6002).
func TestRotationDoesNotDependOnCallers(t *testing.T) {
	notReady := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusServiceUnavailable) }))
	defer notReady.Close()
	n := &node{readyAddr: notReady.Listener.Addr().String()}
	ctx, cancel := context.WithCancel(context.Background())
	var polls sync.WaitGroup
	polls.Go(func() { n.pollReadiness(ctx) })
	time.Sleep(3 * checkInterval)
	if n.inRotation() {
		t.Error("inRotation() of a node that is not ready = true, want false")
	}
	cancel()
	polls.Wait()
}
