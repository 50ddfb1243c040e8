// Package cmds implements the geraniumstep command line. Each command has a
// constructor that returns its flags and action.
//
//	os.Exit(cmds.Main(os.Args, os.Stdin, os.Stdout, os.Stderr))
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

// Exit codes of the command line.
const (
	// ExitOK reports success.
	ExitOK = 0
	// ExitFailed reports that the command failed; the message states the reason.
	ExitFailed = 1
	// ExitUsage reports invalid arguments, settings or objects.
	ExitUsage = 2
	// ExitConflict reports that another change was accepted first.
	ExitConflict = 3
	// ExitUnknown reports that the outcome of a change is unknown.
	ExitUnknown = 4
	// ExitViolation reports that a demo found a violation of a guarantee.
	ExitViolation = 5
)

// Version is the program version that the version command prints.
const Version = "0.1.0"

const exitHelp = `Exit codes: 0 success, 1 failure, 2 invalid arguments, settings or objects,
3 conflict with another change, 4 outcome of a change unknown, 5 violation found by a demo.`

// exitError is an error with the exit code to return for it.
type exitError struct {
	code int
	err  error
}

// Error returns the message of the wrapped error.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e *exitError) Unwrap() error { return e.err }

func usageError(err error) error { return &exitError{code: ExitUsage, err: err} }

// Option configures the command line.
type Option func(*options)

type options struct{ platform Platform }

// WithPlatform adds the relay command, which runs a node on the platform. By
// default there is no relay command.
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
	var exit *exitError
	if errors.As(err, &exit) {
		return exit.code
	}
	return ExitFailed
}

func newApp(in io.Reader, out, errOut io.Writer, o options) *cli.Command {
	app := &cli.Command{
		Name:                  "geraniumstep",
		Usage:                 "query tier for searches across many shards",
		Description:           "Start with 'geraniumstep demo', which runs a complete deployment on this machine.\n\n" + exitHelp,
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

func onUsageError(_ context.Context, _ *cli.Command, err error, _ bool) error { return usageError(err) }

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
