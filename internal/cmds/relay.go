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
	"geraniumstep.org/geraniumstep/internal/keep"
	"geraniumstep.org/geraniumstep/internal/logs"
	"geraniumstep.org/geraniumstep/internal/proto"
	"geraniumstep.org/geraniumstep/internal/setup"
)

// Platform creates the parts of a node that depend on a platform's formats.
type Platform interface {
	// Dialect returns the codec for the headers of callers and upstreams.
	Dialect() proto.Dialect
	// Source returns a reader of the store at the URL.
	Source(url string, transport http.RoundTripper) follow.Source
	// Records returns the tier's own records in the store at the URL.
	Records(url string, transport http.RoundTripper) keep.Store
}

func relayCommand(p Platform) *cli.Command {
	return &cli.Command{
		Name:  "relay",
		Usage: "run one node that relays requests to the upstreams of a platform",
		Description: "Reads the settings, follows the platform's store and serves until SIGTERM or\n" +
			"SIGINT. It then completes the requests in flight and exits with 0. SIGHUP\n" +
			"reloads the log level from the settings.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Required: true, Usage: "settings file in YAML; see docs/CONFIGURATION.md"},
		},
		OnUsageError: onUsageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			path := c.String("config")
			set, err := setup.LoadRelay(path)
			if err != nil {
				return usageError(err)
			}
			return runRelay(ctx, p, path, set)
		},
	}
}

const (
	// memoryLimitRatio is the fraction of the configured memory that is set as
	// the memory limit of the Go runtime. Near the limit, the runtime collects
	// garbage more often. The rest is for stacks, kernel buffers and the binary.
	memoryLimitRatio = 0.7
	// storeIdleTimeout is how long a connection to the store may stay idle.
	storeIdleTimeout = time.Minute
	// storeKeepAlive is the idle time before the first TCP keep-alive probe, and
	// the interval between probes. storeProbes is the number of unanswered probes
	// after which the connection is closed. They detect a dead connection to the
	// store within the few seconds in which changes must be in force.
	storeKeepAlive = time.Second
	storeProbes    = 2
	// maxStoreHeadBytes limits the head of a reply of the store.
	maxStoreHeadBytes = 64 << 10
)

func runRelay(ctx context.Context, p Platform, path string, set setup.Relay) error {
	debug.SetMemoryLimit(int64(memoryLimitRatio * float64(set.MemoryMB) * (1 << 20)))
	out := logs.New(os.Stdout)
	defer out.Close()
	log, err := newLog(set.Log, out)
	if err != nil {
		return usageError(err)
	}
	stop := onSIGHUP(func() { reloadLogLevel(log, path) })
	defer stop()
	entry := log.WithField("vm", set.VM)
	transport := storeTransport()
	d, err := daemon.New(set, p.Dialect(), p.Source(set.Platform.URL, transport),
		daemon.WithLog(entry), daemon.WithRecords(p.Records(set.Platform.URL, transport)))
	if err != nil {
		return err
	}
	return d.Run(ctx)
}

// storeTransport returns a transport that keeps few idle connections to the store
// and detects dead connections.
func storeTransport() *http.Transport {
	d := &net.Dialer{
		Timeout:         time.Second,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: storeKeepAlive, Interval: storeKeepAlive, Count: storeProbes},
	}
	return &http.Transport{DialContext: d.DialContext, MaxIdleConnsPerHost: 4, IdleConnTimeout: storeIdleTimeout, DisableCompression: true, MaxResponseHeaderBytes: maxStoreHeadBytes}
}

// onSIGHUP calls reload on each SIGHUP until stop is called.
func onSIGHUP(reload func()) (stop func()) {
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

// reloadLogLevel sets the log level from the settings file. If the settings cannot
// be read, the level stays as it is.
func reloadLogLevel(log *logrus.Logger, path string) {
	set, err := setup.LoadRelay(path)
	if err != nil {
		log.WithField("error", err.Error()).Warn("tier: could not reload the settings.")
		return
	}
	level, err := logrus.ParseLevel(set.Log.Level)
	if err != nil {
		log.WithField("error", err.Error()).Warn("tier: could not reload the settings.")
		return
	}
	log.SetLevel(level)
	log.WithField("log_level", level.String()).Info("tier: settings reloaded.")
}
