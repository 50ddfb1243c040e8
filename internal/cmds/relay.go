package cmds

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"geraniumstep.org/geraniumstep/internal/daemon"
	"geraniumstep.org/geraniumstep/internal/follow"
	"geraniumstep.org/geraniumstep/internal/logs"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/internal/setup"
)

// Platform makes the parts of a node that speak a platform's formats.
type Platform interface {
	// Dialect names the headers of callers and upstreams.
	Dialect() proto.Dialect
	// Source reads the store at the URL.
	Source(url string, transport http.RoundTripper) follow.Source
}

func relayCommand(p Platform) *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "run one node on a platform, which relays requests to upstreams",
		Description: "Reads the settings, follows the platform's store and serves until SIGTERM or\n" +
			"SIGINT, then finishes what is in flight and exits with 0. SIGHUP reads the log\n" +
			"level again.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Required: true, Usage: "settings in YAML, see docs/CONFIGURATION.md"},
		},
		OnUsageError: onUsageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("config")
			set, err := setup.LoadRelay(path)
			if err != nil {
				return usage(err)
			}
			return relayOn(ctx, p, path, set)
		},
	}
}

const (
	// memoryShare is the part of the memory at which the collector works
	// harder; the rest is for stacks, buffers of the kernel and the binary.
	memoryShare = 0.7
	// collectPercent lets the heap grow between collections: a node's live
	// heap is a few megabytes, and collecting often costs processor time.
	collectPercent = 800
	// storeIdle is how long a connection to the store may stay idle.
	storeIdle = time.Minute
	// storeKeepAlive finds a connection to the store that went silent, well
	// within the seconds in which changes have to be in force.
	storeKeepAlive = time.Second
	storeProbes    = 2
)

// relayOn runs a node until the context ends.
func relayOn(ctx context.Context, p Platform, path string, set setup.Relay) error {
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(memoryShare * float64(set.MemoryMB) * (1 << 20)))
	out := logs.New(os.Stdout)
	defer out.Close()
	log, err := newLog(set.Log, out)
	if err != nil {
		return usage(err)
	}
	stop := onHangUp(func() { reloadLog(log, path) })
	defer stop()
	entry := log.WithField("vm", set.VM)
	t, err := daemon.New(set, p.Dialect(), p.Source(set.Platform.URL, storeTransport()), daemon.WithLog(entry))
	if err != nil {
		return err
	}
	return t.Run(ctx)
}

// storeTransport keeps few connections to the store and notices silent ones.
func storeTransport() *http.Transport {
	d := &net.Dialer{
		Timeout:         time.Second,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: storeKeepAlive, Interval: storeKeepAlive, Count: storeProbes},
	}
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: storeIdle, DisableCompression: true}
}

// onHangUp calls the function on each SIGHUP until stop is called.
func onHangUp(reload func()) (stop func()) {
	signals := make(chan os.Signal, 1)
	done := make(chan struct{})
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for {
			select {
			case <-signals:
				reload()
			case <-done:
				return
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(done)
	}
}

// reloadLog takes the log level from the settings again. Settings that cannot
// be read change nothing.
func reloadLog(log *logrus.Logger, path string) {
	set, err := setup.LoadRelay(path)
	if err != nil {
		log.WithField("error", err.Error()).Warn("tier: settings were not reloaded.")
		return
	}
	level, err := logrus.ParseLevel(set.Log.Level)
	if err != nil {
		log.WithField("error", err.Error()).Warn("tier: settings were not reloaded.")
		return
	}
	log.SetLevel(level)
	log.WithField("log_level", level.String()).Info("tier: settings were reloaded.")
}
