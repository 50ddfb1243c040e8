package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"geraniumstep.org/geraniumstep/internal/demo"
	"geraniumstep.org/geraniumstep/internal/setup"
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:  "demo",
		Usage: "run a complete deployment on this machine, with load and faults",
		Description: "Starts a platform, upstreams and nodes on loopback, sends searches and submissions of\n" +
			"all priorities, and compares the responses with the requests that the upstreams ran.\n\nFaults: " + strings.Join(demo.FaultNames(), ", "),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "deployment", Value: "karatasi", Usage: "deployment to run: karatasi or villakude"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long to send load"},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "seed of the random sources"},
			&cli.FloatFlag{Name: "rate", Value: 0.6, Usage: "load as a fraction of the capacity"},
			&cli.StringFlag{Name: "fault", Value: "none", Usage: "faults to inject, separated by commas"},
			&cli.BoolFlag{Name: "json", Usage: "print one JSON object as the last line"},
			&cli.StringFlag{Name: "report", Usage: "directory for the plots and the JSON report"},
			&cli.StringFlag{Name: "log", Value: "error", Usage: "log level of the nodes"},
			&cli.StringFlag{Name: "mode", Value: "front", Usage: "baseline: routing mode, one of front, independent or shared"},
			&cli.StringFlag{Name: "policy", Value: "least-cost", Usage: "baseline: replica selection, one of least-cost or random"},
			&cli.StringFlag{Name: "queue", Value: "priority", Usage: "baseline: queue order, one of priority or fifo"},
			&cli.BoolFlag{Name: "no-hedge", Usage: "baseline: do not hedge requests"},
			&cli.BoolFlag{Name: "no-canary", Usage: "baseline: send new searches to all shards immediately, without a canary request"},
			&cli.IntFlag{Name: "bulk-spare", Value: -1, Usage: "experiment: number of slots of each upstream kept free of bulk requests"},
		},
		OnUsageError: onUsageError,
		Action:       runDemo,
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	options, err := demoOptions(c)
	if err != nil {
		return usageError(err)
	}
	report, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	out := c.Root().Writer
	if c.Bool("json") {
		line, err := report.JSON()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(out, line)
	} else {
		_, _ = fmt.Fprint(out, report.Table())
	}
	if n := report.Violations.Total(); n > 0 {
		return &exitError{code: ExitViolation, err: fmt.Errorf("demo found %d violations", n)}
	}
	return nil
}

func demoOptions(c *cli.Command) (demo.Options, error) {
	faults, err := demo.ParseFaults(c.String("fault"))
	if err != nil {
		return demo.Options{}, err
	}
	if _, err := demo.Find(c.String("deployment")); err != nil {
		return demo.Options{}, err
	}
	level, err := logrus.ParseLevel(c.String("log"))
	if err != nil {
		return demo.Options{}, err
	}
	const minDuration = 2 * time.Second
	if c.Duration("duration") < minDuration {
		return demo.Options{}, fmt.Errorf("duration %v is too short; use %v or more", c.Duration("duration"), minDuration)
	}
	if c.Float("rate") <= 0 {
		return demo.Options{}, fmt.Errorf("rate %v is not positive; use a fraction of the capacity, such as 0.6", c.Float("rate"))
	}
	return demo.Options{
		Deployment: c.String("deployment"), Duration: c.Duration("duration"), Seed: uint64(c.Uint("seed")),
		Rate: c.Float("rate"), Faults: faults, Log: c.Root().ErrWriter, Level: level,
		Progress: terminal(c.Root().ErrWriter), ReportDir: c.String("report"),
		Change: func(set *setup.Settings) { applyBaseline(c, set) },
	}, nil
}

// applyBaseline sets the routing settings from the baseline and experiment flags,
// so that runs can be compared with simpler policies.
func applyBaseline(c *cli.Command, set *setup.Settings) {
	set.Routing.Mode = c.String("mode")
	set.Routing.Policy = c.String("policy")
	set.Routing.Queue = c.String("queue")
	set.Routing.Hedge = !c.Bool("no-hedge")
	set.Routing.Canary = !c.Bool("no-canary")
	if spare := c.Int("bulk-spare"); spare >= 0 {
		set.Routing.BulkSpare = spare
	}
}

// terminal returns the writer if it is a terminal, and nil otherwise.
func terminal(w io.Writer) io.Writer {
	f, ok := w.(*os.File)
	if !ok {
		return nil
	}
	info, err := f.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return w
}
