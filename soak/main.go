// Command soak is a randomized fault-injection test. It runs real node processes
// against fakes of the platform, injects faults from outside, and checks the
// guarantees of the query tier from the responses that callers receive and the
// requests that servers run.
//
//	go run ./soak --program ./target/geraniumstep --seed 7 --duration 1m
//
// The exit code is 1 if a guarantee was violated. The command signals only processes
// that it has started itself.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
)

// errViolated is returned when a guarantee was violated. The violations are
// printed before.
var errViolated = errors.New("guarantee violated")

func main() {
	app := &cli.Command{
		Name:  "soak",
		Usage: "run a randomized fault-injection test against real node processes",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Required: true, Usage: "path of the geraniumstep binary"},
			&cli.StringFlag{Name: "beside", Usage: "path of another build, which every second start of a node runs"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "number of seeds to run, one after the other"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "how long to inject faults for each seed"},
			&cli.IntFlag{Name: "nodes", Value: 4, Usage: "number of node processes"},
			&cli.IntFlag{Name: "kinds", Value: len(faults), Usage: "number of fault kinds to draw from, in their fixed order; 14 omits link and calls, 16 crash-request and crash-herd, 18 ending-request, limit and restore, 21 servers-cut, leaving and rest, 24 drill, 25 reader-cut, 26 evacuation, to reproduce seeds that ran without them"},
			&cli.StringFlag{Name: "often", Usage: "name of a fault kind that is drawn every second time"},
			&cli.StringFlag{Name: "keep", Usage: "directory in which to keep the logs of the nodes"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			failedSeeds := 0
			for i := range c.Int("seeds") {
				o := options{program: c.String("program"), beside: c.String("beside"), seed: c.Uint64("seed") + uint64(i), duration: c.Duration("duration"), nodes: c.Int("nodes"), keep: c.String("keep"), kinds: c.Int("kinds"), often: c.String("often")}
				if err := soak(ctx, o, c.Root().Writer); errors.Is(err, errViolated) {
					failedSeeds++
				} else if err != nil {
					return err
				}
			}
			if failedSeeds > 0 {
				return fmt.Errorf("%d seeds failed: %w", failedSeeds, errViolated)
			}
			return nil
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// options are the settings for the run of one seed.
type options struct {
	program string
	// beside is another build of the program, if any. Every second start of a node runs it.
	beside   string
	seed     uint64
	duration time.Duration
	nodes    int
	keep     string
	// kinds is the number of fault kinds to draw from, in the order of faults.
	kinds int
	// often is the name of the fault kind that is drawn every second time, if any.
	often string
}

const (
	// readyTimeout bounds the time until all nodes are ready.
	readyTimeout = 15 * time.Second
	// callersPerNode is the number of callers, each with its own connection,
	// that send requests to a node.
	callersPerNode = 3
	// maxFaults is the maximum number of simultaneous faults.
	maxFaults = 3
)

// soak runs one seed and prints the faults and the violations to out.
func soak(ctx context.Context, o options, out io.Writer) error {
	dir := o.keep
	if dir == "" {
		var err error
		if dir, err = os.MkdirTemp("", "soak"); err != nil {
			return err
		}
		defer func() { _ = os.RemoveAll(dir) }()
	} else if err := os.MkdirAll(dir, 0o700); err != nil {
		return err
	}
	e, err := newTestEnv(o, dir)
	if err != nil {
		return err
	}
	defer e.close()
	if err := e.awaitReady(readyTimeout); err != nil {
		return err
	}
	e.run(ctx, o, out)
	e.checker.nodes = len(e.nodes)
	e.checker.finish(e.notRun, e.submissions, e.receivers)
	violations := e.checker.listViolations()
	for _, v := range violations {
		fmt.Fprintf(out, "seed %d: BROKEN %s\n", o.seed, v)
	}
	fmt.Fprintf(out, "seed %d: %d requests, %d answered, %d broken promises\n", o.seed, e.checker.attempts, e.checker.successes, len(violations))
	if len(violations) > 0 {
		return errViolated
	}
	return nil
}

// run runs callers and faults, and then checks that service recovers.
func (e *testEnv) run(ctx context.Context, o options, out io.Writer) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i, n := range e.nodes {
		callers.Go(func() { n.pollReadiness(ctx) })
		for k := range callersPerNode {
			callers.Go(func() { e.runCaller(ctx, n, o.seed*1000+uint64(i*callersPerNode+k)) })
		}
	}
	e.injectFaults(o, out)
	e.checkRecovery()
	cancel()
	callers.Wait()
}

// injectFaults starts random faults, up to maxFaults of them at a time, for the
// duration of the run. It waits until all have ended.
func (e *testEnv) injectFaults(o options, out io.Writer) {
	end := time.Now().Add(o.duration)
	var pending sync.WaitGroup
	slots := make(chan struct{}, maxFaults)
	busy := make(map[string]bool)
	var mu sync.Mutex
	for time.Now().Before(end) {
		time.Sleep(e.randomDuration(100*time.Millisecond, 1500*time.Millisecond))
		f := e.drawFault(o)
		slots <- struct{}{}
		mu.Lock()
		skip := busy[f.name] || isNodeFault(f.name) && (busy["kill"] || busy["pause"] || busy["roll"])
		busy[f.name] = busy[f.name] || !skip
		mu.Unlock()
		if skip {
			<-slots
			continue
		}
		started := time.Now()
		r := f.run(e)
		fmt.Fprintf(out, "seed %d: %6.2f s %s %s for %v\n", o.seed, o.duration.Seconds()-time.Until(end).Seconds(), f.name, r.detail, r.duration.Round(time.Millisecond))
		if !r.planned {
			e.checker.recordFault(r.node, started, started.Add(r.duration))
		}
		pending.Go(func() {
			time.Sleep(r.duration)
			r.end()
			if !r.planned {
				e.checker.recordFault(r.node, started, time.Now())
			}
			mu.Lock()
			delete(busy, f.name)
			mu.Unlock()
			<-slots
		})
	}
	pending.Wait()
}

// drawFault draws the next kind of fault.
func (e *testEnv) drawFault(o options) fault {
	if o.often != "" && e.random.IntN(2) == 0 {
		if i := slices.IndexFunc(faults, func(f fault) bool { return f.name == o.often }); i >= 0 {
			return faults[i]
		}
	}
	return faults[e.random.IntN(min(max(o.kinds, 1), len(faults)))]
}

// isNodeFault reports whether the fault stops or pauses a node process. Such faults
// do not overlap with each other.
func isNodeFault(name string) bool { return name == "kill" || name == "pause" || name == "roll" }

// checkRecovery waits until nine in ten requests are answered again, and records a
// violation if that takes longer than recoveryBound.
func (e *testEnv) checkRecovery() {
	end := time.Now().Add(recoveryBound)
	for time.Now().Before(end) {
		e.checker.mu.Lock()
		attempts, successes := e.checker.attempts, e.checker.successes
		e.checker.mu.Unlock()
		time.Sleep(time.Second)
		e.checker.mu.Lock()
		sent, answered := e.checker.attempts-attempts, e.checker.successes-successes
		e.checker.mu.Unlock()
		if sent > 10 && answered*10 >= sent*9 {
			return
		}
	}
	e.checker.mu.Lock()
	defer e.checker.mu.Unlock()
	e.checker.violate("recovery: fewer than nine in ten requests are answered %v after the last fault", recoveryBound)
}
