// Command ragwort-load generates load on routers and verifies every response. It
// also runs the benchmark of the scheduling policy and measures the cost of
// routers.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/urfave/cli/v3"

	"ragwortshunt.example/load/internal/runner"
	"ragwortshunt.example/load/internal/slopes"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := command().Run(ctx, os.Args); err != nil {
		fmt.Fprintln(os.Stderr, "ragwort-load:", err)
		os.Exit(1)
	}
}

func command() *cli.Command {
	return &cli.Command{
		Name:  "ragwort-load",
		Usage: "generate load on routers and verify every response",
		Commands: []*cli.Command{
			runCommand(),
			benchCommand(),
			slopes.Command(),
		},
	}
}

func runCommand() *cli.Command {
	return &cli.Command{
		Name:  "run",
		Usage: "run a workload; exit status 1 if a response was wrong",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "router", Usage: "base `URL` of a router (repeatable)", Required: true},
			&cli.StringFlag{Name: "workload", Usage: "workload `FILE`", Required: true},
			&cli.DurationFlag{Name: "duration", Usage: "time during which requests are sent", Value: 30 * time.Second},
			&cli.DurationFlag{Name: "timeout", Usage: "timeout of one request", Value: time.Minute},
			&cli.DurationFlag{Name: "drain", Usage: "timeout for requests in flight at the end", Value: 30 * time.Second},
			&cli.Uint64Flag{Name: "seed", Usage: "seed of arrivals, sizes and prompts", Value: 1},
			&cli.StringFlag{Name: "json", Usage: "write the report to `FILE`"},
			&cli.DurationFlag{Name: "first-token", Usage: "target of the time to first token for all flows"},
			&cli.DurationFlag{Name: "between-tokens", Usage: "target of the mean time between tokens for all flows"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			return runner.RunWorkload(ctx, runner.Arguments{
				Options: runner.Options{
					Routers:  c.StringSlice("router"),
					Duration: c.Duration("duration"),
					Timeout:  c.Duration("timeout"),
					Drain:    c.Duration("drain"),
					Seed:     c.Uint64("seed"),
				},
				WorkloadPath:  c.String("workload"),
				ReportPath:    c.String("json"),
				FirstToken:    c.Duration("first-token"),
				BetweenTokens: c.Duration("between-tokens"),
				Table:         os.Stdout,
			})
		},
	}
}
