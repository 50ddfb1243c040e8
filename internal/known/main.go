// Command known judges a run of the tests. It reads the output of go test -json, prints
// it as text, and fails unless every failure is a test that the list names and every
// test of the list has run.
//
//	internal/known/judge.sh target/known KNOWN-RED.txt ./...
//
// A line of the list names a test as "test: PACKAGE NAME", with the package relative to
// the module. Panics, data races, timeouts and build failures are never passed over.
package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/urfave/cli/v3"
)

// errRed is returned when a failure is not listed, or a listed test has not run.
var errRed = errors.New("the run is red")

// maxLineBytes bounds one line of the output of go test.
const maxLineBytes = 4 << 20

func main() {
	app := &cli.Command{
		Name:  "known",
		Usage: "judge the output of go test -json against the list of known failures",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "list", Required: true, Usage: "file that names the known failures"},
			&cli.StringFlag{Name: "module", Value: "geraniumstep.org/geraniumstep", Usage: "path of the module"},
		},
		Action: func(_ context.Context, c *cli.Command) error {
			list, err := os.ReadFile(c.String("list"))
			if err != nil {
				return fmt.Errorf("cannot read the list of known failures: %w; name it with --list", err)
			}
			return judge(os.Stdin, c.Root().Writer, parseList(string(list), c.String("module")))
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "known:", err)
		os.Exit(1)
	}
}

// testID identifies a test. An empty name stands for the whole package.
type testID struct{ pkg, name string }

// parseList returns the tests that the list names.
func parseList(list, module string) map[testID]bool {
	known := make(map[testID]bool)
	for _, line := range strings.Split(list, "\n") {
		_, id, found := strings.Cut(line, "test: ")
		if fields := strings.Fields(id); found && len(fields) == 2 {
			known[testID{module + "/" + fields[0], fields[1]}] = true
		}
	}
	return known
}

// judge copies the output of the run to out and returns errRed unless the run passes.
func judge(in io.Reader, out io.Writer, known map[testID]bool) error {
	r := newResults()
	lines := bufio.NewScanner(in)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		var ev event
		if err := json.Unmarshal(lines.Bytes(), &ev); err != nil {
			fmt.Fprintln(out, lines.Text())
			continue
		}
		r.add(ev)
		if ev.Test == "" || ev.Action == "fail" {
			fmt.Fprint(out, r.text(ev))
		}
	}
	if err := lines.Err(); err != nil {
		return fmt.Errorf("cannot read the output of go test: %w", err)
	}
	for _, id := range r.unfinished() {
		fmt.Fprint(out, r.outputOf(id))
	}
	red := r.unlisted(known)
	for _, problem := range red {
		fmt.Fprintln(out, "RED:", problem)
	}
	for id := range known {
		fmt.Fprintf(out, "known red: %s %s: %s\n", id.pkg, id.name, r.outcome(id))
	}
	if len(red) > 0 {
		return fmt.Errorf("%d problems: %w", len(red), errRed)
	}
	return nil
}
