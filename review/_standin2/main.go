// The program is the stand-in of a small deployment for the cases of the second review: the
// platform's store, servers, links and clients. It starts the project's nodes as processes,
// plays one case, writes record.txt into the folder of the case and ends all processes.
//
//	standin2 quota review/7
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run. With
// TROUBLE=0 it plays the case without the disruption.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// errBroken is returned by a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

var cases = map[string]func(d *deployment, trouble bool) error{"quota": playQuota}

// regions are the region of each zone, as in the settings of a node.
const regions = `{"nbo-a": "nairobi", "mba-a": "mombasa", "ksm-a": "kisumu"}`

// longest is how long a case may take. It then ends all processes and fails.
const longest = 110 * time.Second

// stopEarly ends all processes and this one on a signal, or when the case takes too long.
func (d *deployment) stopEarly() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case <-signals:
	case <-time.After(longest):
	}
	d.stop()
	os.Exit(exitFailed)
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER, in the repository's root")
		return exitFailed
	}
	d, err := newDeployment(regions)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer d.stop()
	go d.stopEarly()
	err = cases[os.Args[1]](d, os.Getenv("TROUBLE") != "0")
	if failure := d.rec.write(os.Args[2]); failure != nil {
		err = errors.Join(err, failure)
	}
	switch {
	case err == nil:
		fmt.Println("held")
		return exitHeld
	case errors.Is(err, errBroken):
		fmt.Println(err)
		return exitBroken
	}
	fmt.Fprintln(os.Stderr, err)
	return exitFailed
}
