// Package command defines the command line of the router.
package command

import (
	"context"
	"errors"
	"fmt"
	"io"

	"github.com/jonboulle/clockwork"
	"github.com/urfave/cli/v3"

	"ragwortshunt.example/router/internal/app"
	"ragwortshunt.example/router/internal/operator"
	"ragwortshunt.example/router/internal/settings"
)

// The exit codes of the program.
const (
	ExitError    = 1
	ExitSettings = 5 // invalid settings, as ragwortctl uses for invalid tables
)

// ExitCode returns the exit code for an error.
func ExitCode(err error) int {
	if errors.Is(err, settings.ErrSettings) {
		return ExitSettings
	}
	return ExitError
}

var settingsFlag = &cli.StringFlag{
	Name: "settings", Aliases: []string{"s"}, Required: true,
	Usage: "INI `FILE` with the settings of this host", Sources: cli.EnvVars("RAGWORTSHUNT_SETTINGS"),
}

// New returns the command line.
func New() *cli.Command {
	return &cli.Command{
		Name:                  "ragwortshunt",
		Usage:                 "route language-model requests to prefill and decode pools and to plain services",
		EnableShellCompletion: true,
		Commands: []*cli.Command{
			{Name: "run", Usage: "serve until SIGTERM or SIGINT, then shut down gracefully", Flags: []cli.Flag{settingsFlag}, Action: run},
			{Name: "settings", Usage: "check and describe settings", Commands: []*cli.Command{
				{Name: "check", Usage: "check a settings file", Flags: []cli.Flag{settingsFlag}, Action: check},
				{Name: "describe", Usage: "print every key with its default, unit and range", Action: describe},
			}},
		},
	}
}

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
	life, cancel := context.WithCancel(context.Background())
	defer cancel()
	return app.New(app.Lifetime{Context: life}, s, log, clockwork.NewRealClock()).Run(ctx)
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

// writeFields prints a settings file with all keys, in which required values
// are left blank.
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
