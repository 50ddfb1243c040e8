package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record holds what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	start time.Time
	list  []fact
}

// fact is a line of the record. What is sent, answered, run, second, cut, healed or verdict.
type fact struct {
	at                    time.Duration
	what, id, who, detail string
}

func (r *record) add(what, id, who, detail string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, fact{time.Since(r.start), what, id, who, detail})
}

// facts returns the lines of one kind.
func (r *record) facts(what string) []fact {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []fact
	for _, f := range r.list {
		if f.what == what {
			list = append(list, f)
		}
	}
	return list
}

// write writes the record into the folder.
func (r *record) write(folder string) error {
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return err
	}
	defer file.Close()
	w := bufio.NewWriter(file)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, f := range r.list {
		fmt.Fprintf(w, "%9.4f %s %s %s %s\n", f.at.Seconds(), f.what, f.id, f.who, f.detail)
	}
	return w.Flush()
}
