package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/urfave/cli/v3"

	"geraniumstep.org/geraniumstep/internal/wire"
)

func loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send open-loop load to running nodes",
		Description: "Sends searches at random intervals. Each search is sent at its scheduled time, however\n" +
			"long earlier searches take, and its latency is measured from that time.",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "node", Value: []string{"http://127.0.0.1:8080"}, Usage: "URLs of nodes, used in rotation"},
			&cli.StringSliceFlag{Name: "workspace", Required: true, Usage: "workspaces, used in rotation; results are printed for each"},
			&cli.StringFlag{Name: "template", Required: true, Usage: "template of the searches"},
			&cli.StringFlag{Name: "parameters", Value: "{}", Usage: "search parameters as a JSON object"},
			&cli.FloatFlag{Name: "rate", Value: 50, Usage: "searches per second"},
			&cli.DurationFlag{Name: "duration", Value: 10 * time.Second, Usage: "how long to send load"},
			&cli.UintFlag{Name: "seed", Value: 1, Usage: "seed of the random intervals"},
		},
		OnUsageError: onUsageError,
		Action:       runLoad,
	}
}

// workspaceStats counts the results of the searches of one workspace.
type workspaceStats struct {
	answered, notRun, failed int64
	coverage                 float64
	latency                  *hdrhistogram.Histogram
}

// loadSender sends the searches of one load and collects the results.
type loadSender struct {
	nodes      []string
	workspaces []string
	template   string
	body       []byte
	client     *http.Client

	mu    sync.Mutex
	stats map[string]*workspaceStats
}

func runLoad(ctx context.Context, c *cli.Command) error {
	var params map[string]any
	if err := json.Unmarshal([]byte(c.String("parameters")), &params); err != nil {
		return usageError(fmt.Errorf(`--parameters is not a JSON object: %w; write it as in {"q":"crane"}`, err))
	}
	if c.Float("rate") <= 0 {
		return usageError(fmt.Errorf("--rate %v is not positive; use a number above zero", c.Float("rate")))
	}
	body, err := json.Marshal(wire.RequestBody{Parameters: params})
	if err != nil {
		return err
	}
	s := &loadSender{
		nodes: c.StringSlice("node"), workspaces: c.StringSlice("workspace"), template: c.String("template"), body: body,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		stats:  make(map[string]*workspaceStats),
	}
	for _, w := range s.workspaces {
		const maxMicros, digits = 60_000_000, 3
		s.stats[w] = &workspaceStats{latency: hdrhistogram.New(1, maxMicros, digits)}
	}
	ctx, cancel := context.WithTimeout(ctx, c.Duration("duration"))
	defer cancel()
	s.run(ctx, c.Float("rate"), rand.New(rand.NewPCG(uint64(c.Uint("seed")), 0)))
	return s.print(c.Root().Writer)
}

func (s *loadSender) run(ctx context.Context, rate float64, random *rand.Rand) {
	var running sync.WaitGroup
	defer running.Wait()
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(due)):
		}
		at := due
		running.Go(func() { s.send(n, at) })
	}
}

func (s *loadSender) send(n int, due time.Time) {
	workspace := s.workspaces[n%len(s.workspaces)]
	url := fmt.Sprintf("%s/v1/workspaces/%s/searches/%s", strings.TrimSuffix(s.nodes[n%len(s.nodes)], "/"), workspace, s.template)
	res, err := s.client.Post(url, "application/json", bytes.NewReader(s.body))
	if err != nil {
		s.record(workspace, due, nil, true)
		return
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil || res.StatusCode != http.StatusOK {
		var p wire.Problem
		notRun := json.Unmarshal(data, &p) == nil && p.Kind == wire.KindNotRun
		s.record(workspace, due, nil, !notRun)
		return
	}
	var a wire.Answer
	s.record(workspace, due, &a, json.Unmarshal(data, &a) != nil)
}

func (s *loadSender) record(workspace string, due time.Time, a *wire.Answer, failed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	stats := s.stats[workspace]
	switch {
	case failed:
		stats.failed++
	case a == nil:
		stats.notRun++
	default:
		stats.answered++
		stats.coverage += a.Ratio
		_ = stats.latency.RecordValue(max(time.Since(due).Microseconds(), 1))
	}
}

func (s *loadSender) print(out io.Writer) error {
	w := table(out)
	_, _ = fmt.Fprintln(w, "WORKSPACE\tANSWERED\tNOT RUN\tFAILED\tCOVERAGE\tP50 MS\tP99 MS\tP99.9 MS")
	for _, name := range s.workspaces {
		stats := s.stats[name]
		coverage := 0.0
		if stats.answered > 0 {
			coverage = stats.coverage / float64(stats.answered)
		}
		millis := func(q float64) float64 { return float64(stats.latency.ValueAtQuantile(q)) / 1000 }
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.4f\t%.1f\t%.1f\t%.1f\n", name, stats.answered, stats.notRun, stats.failed, coverage, millis(50), millis(99), millis(99.9))
	}
	return w.Flush()
}
