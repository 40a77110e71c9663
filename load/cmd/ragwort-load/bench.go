package main

import (
	"context"
	"os"

	"github.com/urfave/cli/v3"

	"ragwortshunt.example/load/internal/bench"
)

// defaultWorkers is the default number of concurrent benchmark runs.
const defaultWorkers = 8

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:  "bench",
		Usage: "replay traces through the decision cores and compare variants of the scheduling policy",
		Flags: []cli.Flag{
			&cli.StringSliceFlag{Name: "trace", Usage: "`NAME` or file of a trace (repeatable; default: all)"},
			&cli.StringSliceFlag{Name: "deployment", Usage: "`NAME` of a deployment (repeatable; default: all)"},
			&cli.StringSliceFlag{Name: "variant", Usage: "`NAME` of a variant (repeatable; default: all)"},
			&cli.Uint64Flag{Name: "seed", Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: "seeds", Usage: "number of seeds", Value: 1},
			&cli.IntFlag{Name: "workers", Usage: "number of concurrent runs", Value: defaultWorkers},
			&cli.BoolFlag{Name: "quick", Usage: "run only two traces and three variants, unless they are named"},
			&cli.IntFlag{Name: "explain", Usage: "print the steps of up to `N` missed requests per cause"},
			&cli.StringFlag{Name: "out", Usage: "write the report and plots to `DIR`"},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			args := bench.Arguments{
				Traces:      c.StringSlice("trace"),
				Deployments: c.StringSlice("deployment"),
				Variants:    c.StringSlice("variant"),
				Workers:     c.Int("workers"),
				Explain:     c.Int("explain"),
				OutputDir:   c.String("out"),
				Table:       os.Stdout,
			}
			for i := range uint64(max(1, c.Int("seeds"))) {
				args.Seeds = append(args.Seeds, c.Uint64("seed")+i)
			}
			if c.Bool("quick") {
				args.SetQuickDefaults()
			}
			return bench.Command(ctx, args)
		},
	}
}
