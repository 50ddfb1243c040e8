// Command soak runs real nodes of the tier as separate processes against
// stand-ins, harms them from outside at random, and checks the tier's promises
// from what callers and servers see.
//
//	go run ./soak --program ./target/geraniumstep --seed 7 --duration 1m
//
// It ends with 1 if a promise was broken. Only processes that it has started are
// signalled.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"sync"
	"time"

	"github.com/urfave/cli/v3"
)

// errBroken tells that a promise was broken; the report says which.
var errBroken = errors.New("a promise was broken")

func main() {
	app := &cli.Command{
		Name:  "soak",
		Usage: "harm real nodes at random and check what they promise",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "program", Required: true, Usage: "path of the geraniumstep binary"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "first seed"},
			&cli.IntFlag{Name: "seeds", Value: 1, Usage: "how many seeds, one after the other"},
			&cli.DurationFlag{Name: "duration", Value: 30 * time.Second, Usage: "time with faults of each seed"},
			&cli.IntFlag{Name: "nodes", Value: 4, Usage: "number of node processes"},
			&cli.IntFlag{Name: "kinds", Value: len(faults), Usage: "draw from the first kinds of faults only (14 for seeds found before links between nodes were harmed)"},
			&cli.StringFlag{Name: "keep", Usage: "folder that keeps the nodes' logs"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			broken := 0
			for i := range c.Int("seeds") {
				o := options{program: c.String("program"), seed: c.Uint64("seed") + uint64(i), duration: c.Duration("duration"), nodes: c.Int("nodes"), keep: c.String("keep"), kinds: c.Int("kinds")}
				if err := soak(ctx, o, c.Root().Writer); errors.Is(err, errBroken) {
					broken++
				} else if err != nil {
					return err
				}
			}
			if broken > 0 {
				return fmt.Errorf("%d seeds: %w", broken, errBroken)
			}
			return nil
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "soak:", err)
		os.Exit(1)
	}
}

// options are the settings of one seed.
type options struct {
	program  string
	seed     uint64
	duration time.Duration
	nodes    int
	keep     string
	// kinds is how many of the faults are drawn from.
	kinds int
}

const (
	// readyWithin is how long the nodes may take to start.
	readyWithin = 15 * time.Second
	// callersPerNode keep a few connections open at each node.
	callersPerNode = 3
	// mostFaults is how many faults overlap at most.
	mostFaults = 3
)

// soak plays one seed and reports to out.
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
	w, err := newWorld(o.seed, o.program, dir, o.nodes)
	if err != nil {
		return err
	}
	defer w.close()
	if err := w.awaitReady(readyWithin); err != nil {
		return err
	}
	w.play(ctx, o, out)
	w.truth.finish(w.promised, w.once)
	problems := w.truth.found()
	for _, p := range problems {
		fmt.Fprintf(out, "seed %d: BROKEN %s\n", o.seed, p)
	}
	fmt.Fprintf(out, "seed %d: %d requests, %d answered, %d broken promises\n", o.seed, w.truth.attempts, w.truth.successes, len(problems))
	if len(problems) > 0 {
		return errBroken
	}
	return nil
}

// play runs callers and faults, and then checks that service is back.
func (w *world) play(ctx context.Context, o options, out io.Writer) {
	ctx, cancel := context.WithCancel(ctx)
	var callers sync.WaitGroup
	for i, n := range w.nodes {
		for k := range callersPerNode {
			callers.Go(func() { w.call(ctx, n, o.seed*1000+uint64(i*callersPerNode+k)) })
		}
	}
	w.harm(o, out)
	w.checkRecovery()
	cancel()
	callers.Wait()
}

// harm plays random faults, some of which overlap, until the time is up.
func (w *world) harm(o options, out io.Writer) {
	end := time.Now().Add(o.duration)
	var open sync.WaitGroup
	slots := make(chan struct{}, mostFaults)
	busy := make(map[string]bool)
	var mu sync.Mutex
	for time.Now().Before(end) {
		time.Sleep(w.lasting(100*time.Millisecond, 1500*time.Millisecond))
		f := faults[w.random.IntN(min(max(o.kinds, 1), len(faults)))]
		slots <- struct{}{}
		mu.Lock()
		skip := busy[f.name] || nodeFault(f.name) && (busy["kill"] || busy["pause"] || busy["roll"])
		busy[f.name] = busy[f.name] || !skip
		mu.Unlock()
		if skip {
			<-slots
			continue
		}
		begun := time.Now()
		r := f.run(w)
		fmt.Fprintf(out, "seed %d: %6.2f s %s %s for %v\n", o.seed, o.duration.Seconds()-time.Until(end).Seconds(), f.name, r.what, r.lasts.Round(time.Millisecond))
		if !r.planned {
			w.truth.disturb(r.node, begun, begun.Add(r.lasts))
		}
		open.Go(func() {
			time.Sleep(r.lasts)
			r.end()
			if !r.planned {
				w.truth.disturb(r.node, begun, time.Now())
			}
			mu.Lock()
			delete(busy, f.name)
			mu.Unlock()
			<-slots
		})
	}
	open.Wait()
}

func nodeFault(name string) bool { return name == "kill" || name == "pause" || name == "roll" }

// checkRecovery waits until every node serves again.
func (w *world) checkRecovery() {
	end := time.Now().Add(recoverBound)
	for time.Now().Before(end) {
		w.truth.mu.Lock()
		attempts, successes := w.truth.attempts, w.truth.successes
		w.truth.mu.Unlock()
		time.Sleep(time.Second)
		w.truth.mu.Lock()
		asked, served := w.truth.attempts-attempts, w.truth.successes-successes
		w.truth.mu.Unlock()
		if asked > 10 && served*10 >= asked*9 {
			return
		}
	}
	w.truth.mu.Lock()
	defer w.truth.mu.Unlock()
	w.truth.problem("recovery: fewer than nine in ten requests are answered %v after the last fault", recoverBound)
}
