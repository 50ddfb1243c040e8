// Package logs provides a writer for log lines that never blocks the caller, even if
// the output blocks. Lines pass through a bounded queue and a rate limit; lines
// beyond either are dropped and counted:
//
//	w := logs.New(os.Stdout)
//	defer w.Close()
//	log.SetOutput(w)
package logs

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// queueLines is the maximum number of lines in memory.
	queueLines = 2048
	// linesPerSecond limits the volume of the output. A line has about 300 bytes.
	linesPerSecond = 400
	// burstLines is the number of lines accepted in a burst.
	burstLines = 800
	// closeTimeout is how long Close waits for a blocked output.
	closeTimeout = 200 * time.Millisecond
)

// Writer queues lines and writes them to an output. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}

	mu       sync.Mutex
	tokens   float64
	refilled time.Time
}

// New returns a Writer and starts its goroutine, which Close stops.
func New(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		stop: make(chan struct{}), tokens: burstLines, refilled: time.Now(),
	}
	go w.run()
	return w
}

// Write queues one line or drops it. It always returns len(line) and a nil error.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.allow() {
		w.dropped.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// allow reports whether the rate limit admits one more line, and takes a token if so.
func (w *Writer) allow() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.refilled).Seconds()*linesPerSecond, burstLines)
	w.refilled = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes the queued lines and stops the Writer. It returns after closeTimeout
// if the output blocks.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	reported := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			w.flush()
			return
		}
		if dropped := w.dropped.Load(); dropped != reported && len(w.lines) == 0 {
			w.write([]byte(fmt.Sprintf(`{"level":"warning","msg":"logs: lines were dropped.","dropped":%d}`+"\n", dropped-reported)))
			reported = dropped
		}
	}
}

func (w *Writer) flush() {
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		default:
			return
		}
	}
}

// write writes one line to the output. If the output fails, the line is counted as
// dropped, because there is no other place to report the error.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
