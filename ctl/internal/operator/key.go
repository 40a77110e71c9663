package operator

import (
	"bytes"
	"context"
	"fmt"

	"github.com/urfave/cli/v3"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

func (o *operator) keyCommand() *cli.Command {
	return &cli.Command{
		Name:  "key",
		Usage: "make keys of callers",
		Commands: []*cli.Command{{
			Name:   "new",
			Usage:  "print a new key, once, and its row of the table",
			Action: withTimeout(o.newKey),
			Flags: []cli.Flag{
				&cli.StringFlag{Name: "account", Usage: "client `ACCOUNT` of the key", Required: true},
				&cli.StringFlag{Name: "id", Usage: "key `ID`, which is not secret", Required: true},
			},
		}},
	}
}

// created is the JSON result of "key new".
type created struct {
	Key string    `json:"key"`
	Row table.Row `json:"row"`
	CSV string    `json:"csv"` // header and row
}

func (o *operator) newKey(_ context.Context, c *cli.Command) error {
	if err := rejectArguments(c); err != nil {
		return err
	}
	fullKey, key, err := table.NewKey(o.Random, id.KeyID(c.String("id")), id.Account(c.String("account")))
	if err != nil {
		return err
	}
	out := created{Key: fullKey, Row: table.KeyRow(key)}
	var csv bytes.Buffer
	if err := table.FormatRow(&csv, out.Row); err != nil {
		return err
	}
	out.CSV = csv.String()
	if o.json {
		return o.printJSON(out)
	}
	fmt.Fprintln(o.Err, "The key is shown only once. Add the row to the table to put it in force.")
	fmt.Fprintf(o.Out, "%s\n\n%s", out.Key, out.CSV)
	return nil
}
