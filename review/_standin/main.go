// Command standin plays a case of the review: it starts the nodes under test as processes,
// and stands in for the platform's store, its servers and its clients. It exits with 1 if
// the case's rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0
// in the environment it leaves the disruption out.
//
//	standin twice review/1
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync/atomic"
	"syscall"
	"time"
)

// exit codes of a case.
const (
	held   = 0
	broken = 1
	failed = 2
)

// started is the deployment that runs, whose processes must not outlive this one.
var started atomic.Pointer[deployment]

// longest is how long a case may take. It is below the 120 s that a script has, so that all
// processes can be ended within them.
const longest = 116 * time.Second

// stopOnSignal ends all processes that were started when this one is asked to end, or after
// longest. The case then could not run.
func stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		select {
		case <-signals:
		case <-time.After(longest):
			fmt.Fprintln(os.Stderr, "standin: the case took too long")
		}
		if d := started.Load(); d != nil {
			d.stop()
		}
		os.Exit(failed)
	}()
}

func main() {
	stopOnSignal()
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(failed)
	}
	cases := map[string]func(r *record, trouble bool) (int, error){"twice": playTwice, "drain": playDrain, "restore": playRestore}
	play, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: no case %q\n", os.Args[1])
		os.Exit(failed)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(failed)
	}
	code, err := play(r, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		r.add("error %v", err)
		code = failed
	}
	r.close()
	os.Exit(code)
}

// say writes a line to the record and to standard output.
func say(r *record, format string, args ...any) {
	r.add("note "+format, args...)
	fmt.Printf(format+"\n", args...)
}
