package table

import (
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"time"
)

// Format writes the canonical CSV form of s: all columns, rows ordered by kind
// and name, default values included. Parse returns the same snapshot except for its
// version. Durations must be whole multiples of the unit of their column.
func Format(w io.Writer, s *Snapshot) error {
	if err := checkUnits(s); err != nil {
		return err
	}
	return writeRows(w, Rows(s))
}

// FormatRow writes the canonical header and one row as CSV.
func FormatRow(w io.Writer, r Row) error { return writeRows(w, []Row{r}) }

func writeRows(w io.Writer, rows []Row) error {
	c := csv.NewWriter(w)
	if err := c.Write(columns[:]); err != nil {
		return fmt.Errorf("write the header: %w", err)
	}
	for _, r := range rows {
		if err := c.Write(r.record()); err != nil {
			return fmt.Errorf("write %s %q: %w", r.Kind, r.Name, err)
		}
	}
	c.Flush()
	if err := c.Error(); err != nil {
		return fmt.Errorf("write the table: %w", err)
	}
	return nil
}

func checkUnits(s *Snapshot) error {
	if s == nil {
		return nil
	}
	for _, r := range s.Routes {
		whole := r.FirstToken%unitTarget == 0 && r.BetweenTokens%unitTarget == 0
		if !whole || r.MaxStaleness%unitStaleness != 0 {
			return fmt.Errorf("route %q: targets must be whole multiples of %v, staleness of %v",
				r.Name, time.Duration(unitTarget), time.Duration(unitStaleness))
		}
	}
	return nil
}

// Equal reports whether two snapshots have the same rows. It ignores their versions.
func Equal(a, b *Snapshot) bool {
	if a == nil || b == nil {
		return a == b
	}
	return maps.Equal(a.Accounts, b.Accounts) &&
		maps.Equal(a.Pools, b.Pools) &&
		maps.Equal(a.Endpoints, b.Endpoints) &&
		maps.Equal(a.Routes, b.Routes) &&
		maps.Equal(a.Keys, b.Keys)
}
