package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/url"

	"github.com/sirupsen/logrus"
	"github.com/urfave/cli/v3"

	"geraniumstep.org/geraniumstep/internal/api"
	"geraniumstep.org/geraniumstep/internal/certs"
	"geraniumstep.org/geraniumstep/internal/node"
	"geraniumstep.org/geraniumstep/internal/object"
	"geraniumstep.org/geraniumstep/internal/setup"
)

func serveCommand() *cli.Command {
	return &cli.Command{
		Name:  "serve",
		Usage: "run one node on an entry VM",
		Description: "Reads the settings, joins the other nodes and serves until SIGTERM or SIGINT. It\n" +
			"then hands its slots over, completes the requests in flight and exits with 0.",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "config", Aliases: []string{"c"}, Required: true, Usage: "settings file in YAML; see docs/CONFIGURATION.md"},
		},
		OnUsageError: onUsageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			set, err := setup.Load(c.String("config"))
			if err != nil {
				return usageError(err)
			}
			return serve(ctx, set, c.Root().ErrWriter)
		},
	}
}

func serve(ctx context.Context, set setup.Settings, logs io.Writer) error {
	log, err := newLog(set.Log, logs)
	if err != nil {
		return usageError(err)
	}
	client, err := platformClient(set)
	if err != nil {
		return err
	}
	defer client.Close()
	n, err := node.New(set, client, node.WithLog(log))
	if err != nil {
		return err
	}
	n.Handle(api.New(n))
	log.Infof("node: %s listening for callers on %s, for nodes on %s and for gossip on %s.", set.VM, n.Addr(), n.InnerAddr(), n.GossipAddr())
	return n.Run(ctx)
}

func newLog(set setup.Log, w io.Writer) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(w)
	level, err := logrus.ParseLevel(set.Level)
	if err != nil {
		return nil, fmt.Errorf("log.level is %q; use debug, info, warn or error", set.Level)
	}
	log.SetLevel(level)
	if set.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	return log, nil
}

func platformClient(set setup.Settings) (*object.Client, error) {
	opts := []object.Option{object.WithTimeout(set.Platform.Timeout)}
	source, err := certs.Open(set.TLS.Platform)
	if err != nil {
		return nil, err
	}
	if source != nil {
		u, err := url.Parse(set.Platform.URL)
		if err != nil {
			return nil, err
		}
		opts = append(opts, object.WithTransport(func(t *http.Transport) { t.TLSClientConfig = source.Client(u.Hostname()) }))
	}
	return object.New(set.Platform.URL, opts...), nil
}
