package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"
)

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	buffer  bytes.Buffer
}

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func TestWriteDoesNotBlockOnOutput(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		w := New(out)
		for range 5000 {
			time.Sleep(time.Millisecond)
			if n, err := w.Write([]byte("line\n")); n != 5 || err != nil {
				t.Fatalf("Write() = %d, %v, want 5, nil", n, err)
			}
		}
		if w.Dropped() == 0 {
			t.Error("Dropped() = 0, want the lines that did not fit")
		}
		close(out.release)
		synctest.Wait()
		w.Close()
		if !strings.Contains(out.buffer.String(), `"dropped":`) {
			t.Error("output does not report that lines were dropped")
		}
	})
}

func TestRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		close(out.release)
		w := New(out)
		for range 10 {
			for range 1000 {
				_, _ = w.Write([]byte("line\n"))
			}
			time.Sleep(time.Second)
		}
		w.Close()
		if got, maxLines := strings.Count(out.buffer.String(), "line\n"), burstLines+10*linesPerSecond; got > maxLines {
			t.Errorf("lines in 10 s = %d, want at most %d", got, maxLines)
		}
	})
}
