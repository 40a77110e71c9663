// Package command implements the command line of the router: the subcommands, their flags
// and the exit codes.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"
	"go.uber.org/zap"

	"ragwortshunt.example/router/internal/app"
	"ragwortshunt.example/router/internal/operator"
	"ragwortshunt.example/router/internal/settings"
)

// Exit codes of the program, consistent with those of ragwortctl.
const (
	ExitOK       = 0
	ExitError    = 1
	ExitUsage    = 2
	ExitSettings = 5 // invalid settings; ragwortctl uses 5 for invalid tables
)

// errUsage is wrapped by all errors in the command-line arguments.
var errUsage = errors.New("usage")

// Main runs the program until ctx ends and returns the exit code. args[0] is the name of
// the program. Errors are printed to stderr.
func Main(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	err := newRoot(stdout, stderr).Run(ctx, args)
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(stderr, err)
	return exitCode(err)
}

func exitCode(err error) int {
	switch {
	case errors.Is(err, settings.ErrSettings):
		return ExitSettings
	case errors.Is(err, errUsage):
		return ExitUsage
	default:
		return ExitError
	}
}

// settingsFlag returns a new flag for each command, because a cli.Flag stores its value.
func settingsFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "settings", Aliases: []string{"s"}, Required: true,
		Usage: "INI `FILE` with the settings of this host", Sources: cli.EnvVars("RAGWORTSHUNT_SETTINGS"),
	}
}

func newRoot(stdout, stderr io.Writer) *cli.Command {
	root := &cli.Command{
		Name:                  "ragwortshunt",
		Usage:                 "route language-model requests to prefill and decode pools and to plain services",
		Version:               buildVersion(),
		Writer:                stdout,
		ErrWriter:             stderr,
		EnableShellCompletion: true,
		ExitErrHandler:        func(context.Context, *cli.Command, error) {},
		ConfigureShellCompletionCommand: func(c *cli.Command) {
			c.Hidden = false
			configureUsageErrors(c)
		},
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until SIGTERM or SIGINT, then shut down gracefully", Flags: []cli.Flag{settingsFlag()}, Action: run},
			{Name: "settings", Usage: "check and describe settings", Commands: []*cli.Command{
				{Name: "check", Usage: "check a settings file", Flags: []cli.Flag{settingsFlag()}, Action: check},
				{Name: "describe", Usage: "print every key with its default, unit and range", Action: describe},
			}},
		},
	}
	configureUsageErrors(root)
	return root
}

// configureUsageErrors makes a command and all its subcommands report wrong arguments as
// errUsage.
func configureUsageErrors(c *cli.Command) {
	c.OnUsageError = func(_ context.Context, _ *cli.Command, err error, _ bool) error {
		return fmt.Errorf("%w: %w", errUsage, err)
	}
	if c.Action == nil {
		c.Action = rejectMissingCommand
	} else if c.Arguments == nil {
		c.Before = rejectArguments
	}
	for _, sub := range c.Commands {
		configureUsageErrors(sub)
	}
}

// rejectMissingCommand is the action of commands that only group subcommands. It runs if
// the arguments name none of these.
func rejectMissingCommand(_ context.Context, c *cli.Command) error {
	if c.Args().Present() {
		return fmt.Errorf("%w: unknown command %q; see %s --help", errUsage, c.Args().First(), c.FullName())
	}
	return fmt.Errorf("%w: a command is missing; see %s --help", errUsage, c.FullName())
}

// rejectArguments is the Before hook of commands that take no positional arguments.
func rejectArguments(ctx context.Context, c *cli.Command) (context.Context, error) {
	if c.Args().Present() {
		return ctx, fmt.Errorf("%w: %s takes no argument %q", errUsage, c.FullName(), c.Args().First())
	}
	return ctx, nil
}

// buildVersion returns the version of the main module, the VCS revision if the build
// recorded it, and the Go version.
func buildVersion() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	version := info.Main.Version
	if version == "" {
		version = "(devel)"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			version += " " + s.Value
		}
	}
	return version + " " + info.GoVersion
}

// run serves until ctx ends. The lifetime of outgoing calls does not end with ctx, since
// the graceful shutdown still needs them.
func run(ctx context.Context, cmd *cli.Command) error {
	s, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	log, err := operator.NewLogger(s.LogLevel)
	if err != nil {
		return err
	}
	defer log.Sync()
	if s.MemoryLimit > 0 {
		debug.SetMemoryLimit(s.MemoryLimit)
	}
	lifetime, cancel := context.WithCancel(context.Background())
	defer cancel()
	go validateOnSIGHUP(lifetime, cmd.String("settings"), log)
	return app.New(app.Lifetime{Context: lifetime}, s, log, clockwork.NewRealClock()).Run(ctx)
}

// validateOnSIGHUP checks the settings file on each SIGHUP and logs the result. The
// running process keeps its settings; changes take effect at the next start.
func validateOnSIGHUP(ctx context.Context, path string, log *zap.Logger) {
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		if _, err := settings.Load(path); err != nil {
			log.Error("settings: Changed file is invalid and was ignored.", zap.Error(err))
			continue
		}
		log.Info("settings: Changed file is valid; it takes effect at the next start.")
	}
}

func check(_ context.Context, cmd *cli.Command) error {
	s, err := settings.Load(cmd.String("settings"))
	if err != nil {
		return err
	}
	fmt.Fprintf(cmd.Root().Writer, "settings of host %s are valid\n", s.Host)
	return nil
}

func describe(_ context.Context, cmd *cli.Command) error {
	return writeFields(cmd.Root().Writer)
}

// writeFields prints a settings file with all keys, their defaults and descriptions.
// Required values are left blank.
func writeFields(w io.Writer) error {
	section := ""
	for _, f := range settings.Fields() {
		if f.Section != section {
			section = f.Section
			if _, err := fmt.Fprintf(w, "\n[%s]\n", section); err != nil {
				return fmt.Errorf("write settings: %w", err)
			}
		}
		if _, err := fmt.Fprintf(w, "# %s\n%s = %s\n", f.Help, f.Name, f.Default); err != nil {
			return fmt.Errorf("write settings: %w", err)
		}
	}
	return nil
}
