// Package logs writes a process's log lines to an output that may block,
// without ever blocking the caller: lines go through a bounded queue, and what
// does not fit is dropped and counted.
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
	// queueLines bounds the lines in memory.
	queueLines = 2048
	// linesPerSecond bounds the volume; a line is about 300 bytes.
	linesPerSecond = 400
	// burstLines is how many lines may come at once.
	burstLines = 800
	// closeWait is how long Close waits for a blocked output.
	closeWait = 200 * time.Millisecond
)

// Writer queues lines. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
	once    sync.Once
	stop    chan struct{}

	mu     sync.Mutex
	tokens float64
	filled time.Time
}

// New returns a Writer and starts its goroutine, which ends with Close.
func New(out io.Writer) *Writer {
	w := &Writer{
		out: out, lines: make(chan []byte, queueLines), done: make(chan struct{}),
		stop: make(chan struct{}), tokens: burstLines, filled: time.Now(),
	}
	go w.run()
	return w
}

// Write queues one line. It always reports success.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.take() {
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

// take spends one line of the volume allowed.
func (w *Writer) take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(w.tokens+now.Sub(w.filled).Seconds()*linesPerSecond, burstLines)
	w.filled = now
	if w.tokens < 1 {
		return false
	}
	w.tokens--
	return true
}

// Dropped counts the lines that were lost.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Close writes what is queued, as far as the output takes it soon.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	told := int64(0)
	for {
		select {
		case line := <-w.lines:
			w.write(line)
		case <-w.stop:
			w.flush()
			return
		}
		if lost := w.dropped.Load(); lost != told && len(w.lines) == 0 {
			w.write([]byte(fmt.Sprintf(`{"level":"warning","msg":"logs: lines were dropped.","dropped":%d}`+"\n", lost-told)))
			told = lost
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

// write hands one line to the output. An output that fails loses it; there is
// nowhere else to tell.
func (w *Writer) write(line []byte) {
	if _, err := w.out.Write(line); err != nil {
		w.dropped.Add(1)
	}
}
