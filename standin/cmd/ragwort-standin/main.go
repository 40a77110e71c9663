// Program ragwort-standin runs stand-ins, which simulate the platform, model
// engines and plain services on the loopback interface.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/urfave/cli/v3"

	"ragwortshunt.example/standin/internal/process"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ragwort-standin:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "ragwort-standin",
		Usage: "run stand-ins for the platform, model engines and plain services",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
			&cli.StringSliceFlag{Name: "only", Usage: "run only the stand-ins with these `NAME`s (repeatable)"},
			&cli.StringFlag{Name: "control", Usage: "control `ADDRESS` in place of the one in the settings"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return process.Run(ctx, process.Options{
				Settings: c.String("settings"),
				Only:     c.StringSlice("only"),
				Control:  c.String("control"),
				Ready:    os.Stdout,
			})
		},
	}
}
