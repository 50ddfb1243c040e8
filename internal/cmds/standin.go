package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"time"

	"github.com/urfave/cli/v3"

	"geraniumstep.org/geraniumstep/internal/fakes"
	"geraniumstep.org/geraniumstep/internal/syncer"
	"geraniumstep.org/geraniumstep/pkg/layout"
)

func standinCommand() *cli.Command {
	return &cli.Command{
		Name:  "standin",
		Usage: "run a stand-in for the platform or an upstream, for testing",
		Commands: []*cli.Command{
			{
				Name: "platform", Usage: "serve the object API of the platform from memory",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7070", Usage: "address"},
					&cli.StringFlag{Name: "catalogue", Usage: "JSON file with the catalogue to store"},
				},
				OnUsageError: onUsageError,
				Action:       standinPlatform,
			},
			{
				Name: "upstream", Usage: "run one stand-in upstream",
				Flags: []cli.Flag{
					&cli.StringFlag{Name: "listen", Value: "127.0.0.1:7071", Usage: "address"},
					&cli.StringFlag{Name: "id", Required: true, Usage: "ID of the upstream in the catalogue"},
					&cli.StringFlag{Name: "catalogue", Required: true, Usage: "JSON file with the catalogue"},
					&cli.DurationFlag{Name: "service", Value: 10 * time.Millisecond, Usage: "mean service time"},
					&cli.UintFlag{Name: "seed", Value: 1, Usage: "seed of the service times"},
				},
				OnUsageError: onUsageError,
				Action:       standinUpstream,
			},
		},
	}
}

func standinPlatform(ctx context.Context, c *cli.Command) error {
	p, err := fakes.NewPlatform(c.String("listen"), 1)
	if err != nil {
		return err
	}
	defer p.Close()
	if path := c.String("catalogue"); path != "" {
		data, err := os.ReadFile(path)
		if err != nil {
			return usageError(err)
		}
		p.Write(syncer.CatalogueKey, data)
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "platform at %s\n", p.URL())
	<-ctx.Done()
	return nil
}

func standinUpstream(ctx context.Context, c *cli.Command) error {
	catalogue, err := readCatalogue(c.String("catalogue"))
	if err != nil {
		return usageError(err)
	}
	spec, ok := catalogue.Upstream(c.String("id"))
	if !ok {
		return usageError(fmt.Errorf("catalogue has no upstream %q; use --id with the ID of a listed upstream", c.String("id")))
	}
	upstreamConfig := fakes.UpstreamConfig{Slots: spec.Slots(), Conns: spec.Conns(), Service: c.Duration("service"), Sigma: 0.4, TailFactor: 1}
	shardCount := func(name string, version uint64) (int, bool) {
		a, ok := catalogue.Archive(name)
		if !ok || a.Version() != version {
			return 0, false
		}
		return len(a.Shards()), true
	}
	u, err := fakes.NewUpstream(spec.ID(), c.String("listen"), upstreamConfig, fakes.NewRecorder(), uint64(c.Uint("seed")), shardCount)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(c.Root().Writer, "upstream %s at %s\n", u.ID(), u.Addr())
	<-ctx.Done()
	u.Crash()
	return nil
}

func readCatalogue(path string) (*layout.Catalogue, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var spec layout.Spec
	if err := json.Unmarshal(data, &spec); err != nil {
		return nil, fmt.Errorf("%s is not a catalogue in JSON: %w", path, err)
	}
	return layout.New(spec)
}
