// Package operator implements the command line of ragwortctl: it parses arguments,
// calls the platform and the routers, prints results and chooses the exit code.
package operator

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/url"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"ragwortshunt.example/ctl/internal/platform"
	"ragwortshunt.example/ctl/internal/router"
	"ragwortshunt.example/fleet/table"
)

// Exit codes of the program.
const (
	ExitOK           = 0
	ExitError        = 1
	ExitUsage        = 2
	ExitConflict     = 3
	ExitNotReachable = 4
	ExitInvalidTable = 5
)

// Flags that all commands accept, and the environment variables that set their
// defaults.
const (
	flagJSON     = "json"
	flagPlatform = "platform"
	flagRouter   = "router"
	flagTimeout  = "timeout"

	envPlatform = "RAGWORT_PLATFORM"
	envRouter   = "RAGWORT_ROUTER"
	envTimeout  = "RAGWORT_TIMEOUT"
)

// defaultTimeout bounds the duration of a whole command, retries included.
const defaultTimeout = 30 * time.Second

// Streams are the standard streams of the program.
type Streams struct {
	In       io.Reader
	Out, Err io.Writer
	Random   io.Reader // random source for new keys; nil means crypto/rand
}

// usageError is an error in the command-line arguments; it leads to ExitUsage.
type usageError struct{ err error }

func (e usageError) Error() string { return e.err.Error() }

func (e usageError) Unwrap() error { return e.err }

func usagef(format string, args ...any) error {
	return usageError{fmt.Errorf(format, args...)}
}

// Run runs the program and returns the exit code. The first argument is the program
// name.
func Run(ctx context.Context, args []string, s Streams) int {
	if s.Random == nil {
		s.Random = rand.Reader
	}
	o := &operator{Streams: s}
	root := o.root()
	setUsageErrors(root)
	if err := root.Run(ctx, args); err != nil {
		o.printError(err)
		return exitCode(err)
	}
	return ExitOK
}

// operator holds the state that all commands share.
type operator struct {
	Streams
	json bool
}

func (o *operator) root() *cli.Command {
	return &cli.Command{
		Name:                  "ragwortctl",
		Usage:                 "edit the table and look at the routers of ragwortshunt",
		Reader:                o.In,
		Writer:                o.Out,
		ErrWriter:             o.Err,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			setUsageErrors(c)
		},
		Flags: []cli.Flag{
			&cli.BoolFlag{Name: flagJSON, Usage: "print one JSON object", Destination: &o.json},
			&cli.StringFlag{Name: flagPlatform, Usage: "`URL` of the platform's object API", Sources: cli.EnvVars(envPlatform)},
			&cli.StringSliceFlag{Name: flagRouter, Usage: "`URL` of a router's operator address, repeatable", Sources: cli.EnvVars(envRouter)},
			&cli.DurationFlag{Name: flagTimeout, Usage: "`DURATION` of the whole command at most", Value: defaultTimeout, Sources: cli.EnvVars(envTimeout)},
		},
		Commands: []*cli.Command{o.tableCommand(), o.keyCommand(), o.statusCommand(), o.explainCommand()},
	}
}

// setUsageErrors makes a command and its subcommands return a usageError for
// invalid arguments.
func setUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return usageError{err}
	}
	if c.Action == nil {
		c.Action = noSubcommand
	}
	for _, sub := range c.Commands {
		setUsageErrors(sub)
	}
}

// noSubcommand is the action of a command group: it runs when the arguments name
// no known subcommand.
func noSubcommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return usagef("unknown command %q; see %s --help", c.Args().First(), c.FullName())
	}
	return usagef("a command is missing; see %s --help", c.FullName())
}

// withTimeout returns an action that runs a command with the timeout of the
// --timeout flag.
func withTimeout(run func(context.Context, *cli.Command) error) cli.ActionFunc {
	return func(ctx context.Context, c *cli.Command) error {
		timeout := c.Duration(flagTimeout)
		if timeout <= 0 {
			return usagef("--%s must be above 0", flagTimeout)
		}
		ctx, cancel := context.WithTimeout(ctx, timeout)
		defer cancel()
		return run(ctx, c)
	}
}

// singleArgument returns the only argument of a command.
func singleArgument(c *cli.Command, name string) (string, error) {
	if c.Args().Len() != 1 || c.Args().First() == "" {
		return "", usagef("%s needs exactly one %s", c.FullName(), name)
	}
	return c.Args().First(), nil
}

// rejectArguments returns a usage error if a command that takes no arguments has
// any.
func rejectArguments(c *cli.Command) error {
	if c.Args().Present() {
		return usagef("%s takes no arguments", c.FullName())
	}
	return nil
}

func platformClient(c *cli.Command) (*platform.Client, error) {
	base, err := baseURL(flagPlatform, envPlatform, c.String(flagPlatform))
	if err != nil {
		return nil, err
	}
	return platform.New(base), nil
}

func routerURLs(c *cli.Command) ([]string, error) {
	var out []string
	for _, value := range c.StringSlice(flagRouter) {
		base, err := baseURL(flagRouter, envRouter, value)
		if err != nil {
			return nil, err
		}
		out = append(out, base)
	}
	if len(out) == 0 {
		return nil, usagef("set --%s or %s", flagRouter, envRouter)
	}
	return out, nil
}

func baseURL(flag, env, value string) (string, error) {
	if value == "" {
		return "", usagef("set --%s or %s", flag, env)
	}
	u, err := url.Parse(value)
	if err != nil {
		return "", usagef("--%s: %w", flag, err)
	}
	if (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return "", usagef("--%s: %q is not an http URL", flag, value)
	}
	return strings.TrimRight(value, "/"), nil
}

// exitCode returns the exit code for an error.
func exitCode(err error) int {
	var usage usageError
	var raced *platform.RacedError
	var conflict *platform.ConflictError
	var tableErrors table.Errors
	switch {
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &raced), errors.As(err, &conflict):
		return ExitConflict
	case errors.Is(err, platform.ErrNotReachable), errors.Is(err, router.ErrNotReachable):
		return ExitNotReachable
	case errors.As(err, &tableErrors):
		return ExitInvalidTable
	}
	return ExitError
}
