package operator

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/urfave/cli/v3"

	"ragwortshunt.example/ctl/internal/platform"
	"ragwortshunt.example/fleet/table"
)

const (
	flagBaseVersion   = "base-version"
	flagReplaceBroken = "replace-broken"
)

func (o *operator) tableCommand() *cli.Command {
	return &cli.Command{
		Name:  "table",
		Usage: "check, compare, apply or show the table",
		Commands: []*cli.Command{
			{Name: "check", Usage: "check a file", ArgsUsage: "FILE", Action: withTimeout(o.checkTable)},
			{Name: "diff", Usage: "list the rows in which a file differs from the table in force", ArgsUsage: "FILE", Action: withTimeout(o.diffTable)},
			{Name: "apply", Usage: "put a file in force", ArgsUsage: "FILE", Action: withTimeout(o.applyTable), Flags: []cli.Flag{
				&cli.Uint64Flag{Name: flagBaseVersion, Usage: "refuse unless `VERSION`, on which the file is based, is in force"},
				&cli.BoolFlag{Name: flagReplaceBroken, Usage: "replace a stored table that cannot be read"},
			}},
			{Name: "show", Usage: "print the table in force as CSV", Action: withTimeout(o.showTable)},
		},
	}
}

// readTable parses a file; "-" stands for standard input. It prints warnings
// unless the output is JSON.
func (o *operator) readTable(c *cli.Command) (*table.Snapshot, []table.Warning, error) {
	name, err := singleArgument(c, "FILE")
	if err != nil {
		return nil, nil, err
	}
	s, err := o.parseFile(name)
	if err != nil {
		return nil, nil, err
	}
	warnings := table.Warnings(s)
	if !o.json {
		for _, w := range warnings {
			fmt.Fprintln(o.Err, "warning:", w)
		}
	}
	return s, warnings, nil
}

func (o *operator) parseFile(name string) (*table.Snapshot, error) {
	if name == "-" {
		return parse(o.In, "standard-input")
	}
	f, err := os.Open(name)
	if err != nil {
		return nil, fmt.Errorf("open the table: %w", err)
	}
	defer f.Close()
	return parse(f, name)
}

func parse(r io.Reader, name string) (*table.Snapshot, error) {
	s, err := table.Parse(r, name)
	var tableErrors table.Errors
	if errors.As(err, &tableErrors) {
		return nil, fmt.Errorf("the table is invalid:\n%w", tableErrors)
	}
	return s, err
}

// checked is the JSON result of "table check".
type checked struct {
	Valid    bool            `json:"valid"`
	Rows     int             `json:"rows"`
	Warnings []table.Warning `json:"warnings"`
}

func (o *operator) checkTable(_ context.Context, c *cli.Command) error {
	s, warnings, err := o.readTable(c)
	if err != nil {
		return err
	}
	out := checked{Valid: true, Rows: len(table.Rows(s)), Warnings: warnings}
	if o.json {
		return o.printJSON(out)
	}
	fmt.Fprintf(o.Out, "the table is valid: %d rows, %d warnings\n", out.Rows, len(warnings))
	return nil
}

// difference is the JSON result of "table diff".
type difference struct {
	Version  uint64          `json:"version"`
	Changes  []table.Change  `json:"changes"`
	Warnings []table.Warning `json:"warnings"`
}

func (o *operator) diffTable(ctx context.Context, c *cli.Command) error {
	s, warnings, err := o.readTable(c)
	if err != nil {
		return err
	}
	client, err := platformClient(c)
	if err != nil {
		return err
	}
	stored, err := platform.Load(ctx, client)
	if err != nil && !errors.Is(err, platform.ErrNoTable) {
		return err
	}
	out := difference{Version: stored.Version(), Changes: table.Diff(stored.Snapshot, s), Warnings: warnings}
	if o.json {
		return o.printJSON(out)
	}
	o.printChanges(out.Changes)
	fmt.Fprintf(o.Err, "%d rows differ from version %d\n", len(out.Changes), out.Version)
	return nil
}

func (o *operator) applyTable(ctx context.Context, c *cli.Command) error {
	s, _, err := o.readTable(c)
	if err != nil {
		return err
	}
	client, err := platformClient(c)
	if err != nil {
		return err
	}
	baseVersion := c.Uint64(flagBaseVersion)
	if c.IsSet(flagBaseVersion) && baseVersion == 0 {
		return usagef("--%s must be above 0", flagBaseVersion)
	}
	result, err := platform.Apply(ctx, client, platform.Request{
		Snapshot:      s,
		BaseVersion:   baseVersion,
		ReplaceBroken: c.Bool(flagReplaceBroken),
	})
	if err != nil {
		return err
	}
	if o.json {
		return o.printJSON(result)
	}
	o.printChanges(result.Changes)
	if len(result.Changes) == 0 {
		fmt.Fprintf(o.Err, "nothing to change: version %d is in force\n", result.Version)
		return nil
	}
	fmt.Fprintf(o.Err, "version %d is in force: %d rows changed\n", result.Version, len(result.Changes))
	return nil
}

// shown is the JSON result of "table show".
type shown struct {
	Version uint64      `json:"version"`
	Rows    []table.Row `json:"rows"`
}

func (o *operator) showTable(ctx context.Context, c *cli.Command) error {
	if err := rejectArguments(c); err != nil {
		return err
	}
	client, err := platformClient(c)
	if err != nil {
		return err
	}
	stored, err := platform.Load(ctx, client)
	if err != nil {
		return err
	}
	if o.json {
		return o.printJSON(shown{Version: stored.Version(), Rows: table.Rows(stored.Snapshot)})
	}
	fmt.Fprintf(o.Err, "version %d\n", stored.Version())
	return table.Format(o.Out, stored.Snapshot)
}
