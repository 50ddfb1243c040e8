// Package cmds holds the commands of the command line.
package cmds

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"
)

// The exit codes.
const (
	// ExitOK tells that all was done.
	ExitOK = 0
	// ExitFailed tells that the work failed; the message says why.
	ExitFailed = 1
	// ExitUsage tells that arguments, settings or objects are not acceptable.
	ExitUsage = 2
	// ExitConflict tells that another change went first.
	ExitConflict = 3
	// ExitUnknown tells that the outcome of a change is not known.
	ExitUnknown = 4
	// ExitViolation tells that a demo found a violation.
	ExitViolation = 5
)

// Version is the version of the program.
const Version = "0.1.0"

const exitHelp = `Exit codes: 0 done, 1 failed, 2 arguments, settings or objects not acceptable,
3 another change went first, 4 outcome of a change not known, 5 a demo found a violation.`

// codedError is an error with an exit code.
type codedError struct {
	code int
	err  error
}

// Error gives the message.
func (e *codedError) Error() string { return e.err.Error() }

// Unwrap gives the error inside.
func (e *codedError) Unwrap() error { return e.err }

func usage(err error) error { return &codedError{code: ExitUsage, err: err} }

// Option changes the command line.
type Option func(*options)

type options struct{ platform Platform }

// WithPlatform adds the command relay, which runs a node on a platform. By
// default there is none.
func WithPlatform(p Platform) Option { return func(o *options) { o.platform = p } }

// Main runs the command line and returns the exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer, opts ...Option) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var o options
	for _, opt := range opts {
		opt(&o)
	}
	err := newApp(in, out, errOut, o).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(errOut, "geraniumstep: %v\n", err)
	var coded *codedError
	if errors.As(err, &coded) {
		return coded.code
	}
	return ExitFailed
}

func newApp(in io.Reader, out, errOut io.Writer, o options) *cli.Command {
	app := &cli.Command{
		Name:                  "geraniumstep",
		Usage:                 "a query tier for searches over many shards",
		Description:           "Start with 'geraniumstep demo': it runs a whole deployment on this machine.\n\n" + exitHelp,
		Version:               Version,
		EnableShellCompletion: true,
		Suggest:               true,
		Reader:                in,
		Writer:                out,
		ErrWriter:             errOut,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		OnUsageError:          onUsageError,
		Commands: []*cli.Command{
			serveCommand(), demoCommand(), checkCommand(),
			applyCommand(), getCommand(), listCommand(), retireCommand(), historyCommand(), statusCommand(),
			loadCommand(), standinCommand(), versionCommand(),
		},
	}
	if o.platform != nil {
		app.Commands = append(app.Commands, relayCommand(o.platform))
	}
	return app
}

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error { return usage(err) }

func versionCommand() *cli.Command {
	return &cli.Command{
		Name:  "version",
		Usage: "print the version",
		Action: func(_ context.Context, c *cli.Command) error {
			_, err := fmt.Fprintln(c.Root().Writer, Version)
			return err
		},
	}
}
