package demo

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"geraniumstep.org/geraniumstep/pkg/prio"
)

const (
	plotWidth  = 8 * vg.Inch
	plotHeight = 5 * vg.Inch
	// timeBins is the number of intervals into which a plot over time is divided.
	timeBins = 60
)

// write writes the report and its plots to a directory. It does nothing if dir is
// empty.
func (r *Report) write(dir string) error {
	if dir == "" {
		return nil
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("cannot create the report directory: %w; name a writable one with --report", err)
	}
	data, err := r.JSON()
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%s-%s-%d", r.Deployment, orNone(r.Fault), r.Seed)
	if err := os.WriteFile(filepath.Join(dir, name+".json"), []byte(data+"\n"), 0o644); err != nil {
		return err
	}
	if err := r.plotOverTime(filepath.Join(dir, name+"-time.png")); err != nil {
		return err
	}
	return r.plotCDF(filepath.Join(dir, name+"-cdf.png"))
}

func orNone(fault string) string {
	if fault == "" {
		return "none"
	}
	return fault
}

func (r *Report) byPriority(p prio.Priority) []sample {
	var list []sample
	for _, s := range r.samples {
		if s.priority == p {
			list = append(list, s)
		}
	}
	return list
}

// plotOverTime plots the 99th percentile of the latency of each priority over time.
func (r *Report) plotOverTime(path string) error {
	p := plot.New()
	p.Title.Text = "p99 latency over time"
	p.X.Label.Text, p.Y.Label.Text = "seconds", "ms"
	var lines []any
	for _, priority := range prio.All() {
		samples := r.byPriority(priority)
		if len(samples) > 0 {
			lines = append(lines, priority.String(), p99OverTime(samples))
		}
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}

func p99OverTime(samples []sample) plotter.XYs {
	last := time.Duration(0)
	for _, s := range samples {
		last = max(last, s.at)
	}
	width := last/timeBins + 1
	binned := make([][]time.Duration, timeBins+1)
	for _, s := range samples {
		i := max(int(s.at/width), 0)
		binned[i] = append(binned[i], s.took)
	}
	var points plotter.XYs
	for i, list := range binned {
		if len(list) == 0 {
			continue
		}
		sort.Slice(list, func(a, b int) bool { return list[a] < list[b] })
		p99 := list[len(list)*99/100]
		points = append(points, plotter.XY{X: (time.Duration(i) * width).Seconds(), Y: float64(p99.Microseconds()) / 1000})
	}
	return points
}

// plotCDF plots the cumulative distribution of the latency of each priority.
func (r *Report) plotCDF(path string) error {
	p := plot.New()
	p.Title.Text = "answers within latency"
	p.X.Label.Text, p.Y.Label.Text = "ms", "share"
	var lines []any
	for _, priority := range prio.All() {
		samples := r.byPriority(priority)
		if len(samples) == 0 {
			continue
		}
		sort.Slice(samples, func(a, b int) bool { return samples[a].took < samples[b].took })
		var points plotter.XYs
		step := max(len(samples)/500, 1)
		for i := 0; i < len(samples); i += step {
			points = append(points, plotter.XY{X: float64(samples[i].took.Microseconds()) / 1000, Y: float64(i+1) / float64(len(samples))})
		}
		lines = append(lines, priority.String(), points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return err
	}
	return p.Save(plotWidth, plotHeight, path)
}
