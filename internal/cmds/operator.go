package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"sort"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/urfave/cli/v3"

	"geraniumstep.org/geraniumstep/internal/api"
	"geraniumstep.org/geraniumstep/internal/wire"
	"geraniumstep.org/geraniumstep/pkg/config"
)

const (
	callTimeout      = 15 * time.Second
	waitPollInterval = 100 * time.Millisecond
)

// nodeFlags returns the flags of commands that call a node, followed by extra.
func nodeFlags(extra ...cli.Flag) []cli.Flag {
	return append([]cli.Flag{
		&cli.StringFlag{Name: "node", Value: "http://127.0.0.1:8080", Sources: cli.EnvVars("GERANIUMSTEP_NODE"), Usage: "URL of any node"},
		&cli.StringFlag{Name: "token", Sources: cli.EnvVars("GERANIUMSTEP_TOKEN"), Usage: "bearer token of the operator"},
		&cli.StringFlag{Name: "operator", Sources: cli.EnvVars("USER"), Usage: "name of the operator, used on loopback without tokens"},
	}, extra...)
}

// document is an object from an operator's file. Its spec contains all keys but the
// kind.
type document struct {
	kind config.Kind
	name string
	spec json.RawMessage
}

func checkCommand() *cli.Command {
	return &cli.Command{
		Name:         "check",
		Usage:        "validate files with templates and workspaces without applying them",
		ArgsUsage:    "FILE...",
		OnUsageError: onUsageError,
		Action: func(_ context.Context, c *cli.Command) error {
			docs, err := readDocuments(c)
			if err != nil {
				return usageError(err)
			}
			for _, d := range docs {
				_, _ = fmt.Fprintf(c.Root().Writer, "%s %q is acceptable\n", d.kind, d.name)
			}
			return nil
		},
	}
}

func applyCommand() *cli.Command {
	return &cli.Command{
		Name:      "apply",
		Usage:     "create or update the templates and workspaces in files",
		ArgsUsage: "FILE...",
		Flags: nodeFlags(
			&cli.BoolFlag{Name: "wait", Usage: "wait until the changes are in force on every live node"},
			&cli.DurationFlag{Name: "wait-for", Value: 10 * time.Second, Usage: "how long to wait"},
			&cli.IntFlag{Name: "base", Value: -1, Usage: "reject the change unless the object is still at this revision; 0 for a new object"},
		),
		OnUsageError: onUsageError,
		Action:       apply,
	}
}

func apply(ctx context.Context, c *cli.Command) error {
	docs, err := readDocuments(c)
	if err != nil {
		return usageError(err)
	}
	last := uint64(0)
	for _, d := range docs {
		accepted, err := sendChange(ctx, c, http.MethodPut, d)
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintf(c.Root().Writer, "%s %q accepted as change %d\n", d.kind, d.name, accepted.Sequence)
		last = accepted.Sequence
	}
	if c.Bool("wait") {
		return awaitRevision(ctx, c, last)
	}
	return nil
}

// sendChange sends one change to a node. Its ID lets the node recognize a change
// that is sent again.
func sendChange(ctx context.Context, c *cli.Command, method string, d document) (api.Accepted, error) {
	header := http.Header{api.HeaderChange: {uuid.NewString()}}
	if base := c.Int("base"); base >= 0 {
		header.Set(api.HeaderBase, strconv.Itoa(int(base)))
	}
	var accepted api.Accepted
	err := call(ctx, c, method, "/v1/config/"+string(d.kind)+"/"+url.PathEscape(d.name), header, d.spec, &accepted)
	return accepted, err
}

// awaitRevision waits until the revision is in force on every live node. The error
// after a timeout names the nodes on which it is not.
func awaitRevision(ctx context.Context, c *cli.Command, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, c.Duration("wait-for"))
	defer cancel()
	lagging := []string{"every node"}
	for {
		var s api.Status
		if err := call(ctx, c, http.MethodGet, api.PathStatus, nil, nil, &s); err == nil {
			lagging = lagging[:0]
			for _, p := range s.Peers {
				if p.Config < revision {
					lagging = append(lagging, p.VM)
				}
			}
		}
		if len(lagging) == 0 {
			_, _ = fmt.Fprintf(c.Root().Writer, "change %d is in force on every live node\n", revision)
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("change %d was accepted but is not in force on %s after %v; see 'geraniumstep status'", revision, strings.Join(lagging, ", "), c.Duration("wait-for"))
		case <-time.After(waitPollInterval):
		}
	}
}

func getCommand() *cli.Command {
	return &cli.Command{
		Name: "get", Usage: "print a template or workspace as YAML", ArgsUsage: "KIND NAME",
		Flags: nodeFlags(), OnUsageError: onUsageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return usageError(fmt.Errorf("get requires a kind and a name, as in 'geraniumstep get template seat-search'"))
			}
			var o api.Object
			if err := call(ctx, c, http.MethodGet, objectPath(c), nil, nil, &o); err != nil {
				return err
			}
			text, err := yaml.JSONToYAML(o.Spec)
			if err != nil {
				return err
			}
			_, err = fmt.Fprintf(c.Root().Writer, "# revision %d\nkind: %s\n%s", o.Revision, o.Kind, text)
			return err
		},
	}
}

func objectPath(c *cli.Command) string {
	return "/v1/config/" + url.PathEscape(c.Args().Get(0)) + "/" + url.PathEscape(c.Args().Get(1))
}

func listCommand() *cli.Command {
	return &cli.Command{
		Name: "list", Usage: "list templates or workspaces", ArgsUsage: "KIND",
		Flags: nodeFlags(), OnUsageError: onUsageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 1 {
				return usageError(fmt.Errorf("list requires a kind, as in 'geraniumstep list workspace'"))
			}
			kind := strings.TrimSuffix(c.Args().First(), "s")
			var objects []api.Object
			if err := call(ctx, c, http.MethodGet, "/v1/config/"+url.PathEscape(kind), nil, nil, &objects); err != nil {
				return err
			}
			w := table(c.Root().Writer)
			_, _ = fmt.Fprintln(w, "NAME\tREVISION")
			for _, o := range objects {
				_, _ = fmt.Fprintf(w, "%s\t%d\n", o.Name, o.Revision)
			}
			return w.Flush()
		},
	}
}

func table(w io.Writer) *tabwriter.Writer { return tabwriter.NewWriter(w, 0, 4, 2, ' ', 0) }

func retireCommand() *cli.Command {
	return &cli.Command{
		Name: "retire", Usage: "remove a template or workspace", ArgsUsage: "KIND NAME",
		Flags: nodeFlags(
			&cli.IntFlag{Name: "base", Value: -1, Usage: "reject the change unless the object is still at this revision"},
			&cli.BoolFlag{Name: "wait", Usage: "wait until the change is in force on every live node"},
			&cli.DurationFlag{Name: "wait-for", Value: 10 * time.Second, Usage: "how long to wait"},
		),
		OnUsageError: onUsageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Args().Len() != 2 {
				return usageError(fmt.Errorf("retire requires a kind and a name, as in 'geraniumstep retire workspace schools'"))
			}
			accepted, err := sendChange(ctx, c, http.MethodDelete, document{kind: config.Kind(c.Args().Get(0)), name: c.Args().Get(1)})
			if err != nil {
				return err
			}
			_, _ = fmt.Fprintf(c.Root().Writer, "%s %q retired by change %d\n", c.Args().Get(0), c.Args().Get(1), accepted.Sequence)
			if c.Bool("wait") {
				return awaitRevision(ctx, c, accepted.Sequence)
			}
			return nil
		},
	}
}

func historyCommand() *cli.Command {
	return &cli.Command{
		Name: "history", Usage: "print the audit trail of changes",
		Flags: nodeFlags(
			&cli.UintFlag{Name: "after", Usage: "print only changes after this one"},
			&cli.UintFlag{Name: "limit", Value: 50, Usage: "maximum number of changes to print"},
			&cli.BoolFlag{Name: "json", Usage: "print complete changes, one JSON object per line"},
		),
		OnUsageError: onUsageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			var changes []config.Change
			path := fmt.Sprintf("%s?after=%d&limit=%d", api.PathHistory, c.Uint("after"), c.Uint("limit"))
			if err := call(ctx, c, http.MethodGet, path, nil, nil, &changes); err != nil {
				return err
			}
			return printHistory(c, changes)
		},
	}
}

func printHistory(c *cli.Command, changes []config.Change) error {
	if c.Bool("json") {
		encoder := json.NewEncoder(c.Root().Writer)
		for _, change := range changes {
			if err := encoder.Encode(change); err != nil {
				return err
			}
		}
		return nil
	}
	w := table(c.Root().Writer)
	_, _ = fmt.Fprintln(w, "CHANGE\tWHEN\tWHO\tWHAT\tOBJECT\tBASE")
	for _, change := range changes {
		what := "changed"
		switch {
		case change.Retires():
			what = "retired"
		case len(change.Before) == 0:
			what = "created"
		}
		_, _ = fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s %s\t%d\n", change.Sequence, change.When.Format(time.RFC3339), change.Who, what, change.Kind, change.Name, change.Base)
	}
	return w.Flush()
}

func statusCommand() *cli.Command {
	return &cli.Command{
		Name: "status", Usage: "print the nodes and the configuration and catalogue in force on each",
		Flags:        nodeFlags(&cli.BoolFlag{Name: "json", Usage: "print JSON"}),
		OnUsageError: onUsageError,
		Action: func(ctx context.Context, c *cli.Command) error {
			var s api.Status
			if err := call(ctx, c, http.MethodGet, api.PathStatus, nil, nil, &s); err != nil {
				return err
			}
			if c.Bool("json") {
				return json.NewEncoder(c.Root().Writer).Encode(s)
			}
			w := table(c.Root().Writer)
			_, _ = fmt.Fprintln(w, "VM\tDOMAIN\tSTATUS\tREADY\tREACHABLE\tCONFIG\tCATALOGUE")
			for _, p := range s.Peers {
				_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%v\t%v\t%d\t%d\n", p.VM, p.Domain, p.Status, p.Ready, p.Reachable, p.Config, p.Catalogue)
			}
			return w.Flush()
		},
	}
}

// call sends one request to a node and decodes the JSON response into the value.
func call(ctx context.Context, c *cli.Command, method, path string, header http.Header, body []byte, into any) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(c.String("node"), "/")+path, bytes.NewReader(body))
	if err != nil {
		return usageError(fmt.Errorf("--node %q is not a URL: %w; write it as in http://127.0.0.1:8080", c.String("node"), err))
	}
	for k, v := range header {
		req.Header[k] = v
	}
	if token := c.String("token"); token != "" {
		req.Header.Set("Authorization", "Bearer "+token)
	}
	if who := c.String("operator"); who != "" {
		req.Header.Set(api.HeaderOperator, who)
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return fmt.Errorf("node at %s did not respond: %w; use --node to select another node", c.String("node"), err)
	}
	defer res.Body.Close()
	data, err := io.ReadAll(res.Body)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return problemError(res.StatusCode, data)
	}
	return json.Unmarshal(data, into)
}

// problemError converts a problem response into an error with its exit code.
func problemError(status int, data []byte) error {
	var p wire.Problem
	if err := json.Unmarshal(data, &p); err != nil {
		return fmt.Errorf("node responded with status %d", status)
	}
	code := ExitFailed
	switch p.Kind {
	case wire.KindConflict:
		code = ExitConflict
	case wire.KindUnknown:
		code = ExitUnknown
	case wire.KindInvalid:
		code = ExitUsage
	}
	return &exitError{code: code, err: &p}
}

// readDocuments reads the objects of all files given as arguments; "-" stands for
// standard input. Templates precede workspaces in the result.
func readDocuments(c *cli.Command) ([]document, error) {
	if c.Args().Len() == 0 {
		return nil, fmt.Errorf("no file given; specify at least one file with templates or workspaces, or - for standard input")
	}
	var docs []document
	for _, path := range c.Args().Slice() {
		data, err := readFile(c, path)
		if err != nil {
			return nil, err
		}
		found, err := parseDocuments(path, data)
		if err != nil {
			return nil, err
		}
		docs = append(docs, found...)
	}
	sort.SliceStable(docs, func(i, j int) bool { return docs[i].kind < docs[j].kind })
	return docs, nil
}

func readFile(c *cli.Command, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(c.Root().Reader)
	}
	return os.ReadFile(path)
}
