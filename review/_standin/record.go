package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is what was sent, answered and run, as seen by the stand-ins. Each line of
// record.txt holds the seconds since the start, what happened and to which request.
type record struct {
	start time.Time

	mu   sync.Mutex
	file *os.File
	out  *bufio.Writer
	// runs holds when and where each request ran.
	runs map[string][]ran
}

// ran is one run of a request.
type ran struct {
	server string
	at     time.Time
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{start: time.Now(), file: f, out: bufio.NewWriter(f), runs: make(map[string][]ran)}, nil
}

// add writes one line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.4f ", time.Since(r.start).Seconds())
	fmt.Fprintf(r.out, format+"\n", args...)
}

// ran records that a server began to work on a request.
func (r *record) ran(request, server string) {
	r.mu.Lock()
	r.runs[request] = append(r.runs[request], ran{server, time.Now()})
	r.mu.Unlock()
	r.add("run %s at %s", request, server)
}

func (r *record) runsOf(request string) []ran {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]ran(nil), r.runs[request]...)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
