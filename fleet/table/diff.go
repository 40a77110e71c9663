package table

import (
	"cmp"
	"slices"
)

// Op is the operation that turns a row of one snapshot into that of another.
type Op string

// The operations of a change.
const (
	OpAdd    Op = "add"
	OpChange Op = "change"
	OpRemove Op = "remove"
)

// Change is the difference of one row between two snapshots. It lists all columns
// of an added or removed row, and the columns with different values of a changed row.
type Change struct {
	Kind    Kind           `json:"kind"`
	Name    string         `json:"name"`
	Op      Op             `json:"op"`
	Columns []ColumnChange `json:"columns"`
}

// ColumnChange is the difference of one cell. A value is empty if the column does
// not apply to the row.
type ColumnChange struct {
	Column string `json:"column"`
	Old    string `json:"old"`
	New    string `json:"new"`
}

// Diff returns the changes between two snapshots, ordered by kind and name. A nil
// snapshot is treated as an empty table.
func Diff(from, to *Snapshot) []Change {
	before, after := byName(Rows(from)), byName(Rows(to))
	out := []Change{}
	for name, row := range before {
		if _, ok := after[name]; !ok {
			out = append(out, change(OpRemove, row, Row{Kind: row.Kind, Name: row.Name}))
		}
	}
	for name, row := range after {
		prior, ok := before[name]
		if !ok {
			out = append(out, change(OpAdd, Row{Kind: row.Kind, Name: row.Name}, row))
			continue
		}
		if c := change(OpChange, prior, row); len(c.Columns) > 0 {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b Change) int {
		return cmp.Or(cmp.Compare(kindIndex(a.Kind), kindIndex(b.Kind)), cmp.Compare(a.Name, b.Name))
	})
	return out
}

func byName(rows []Row) map[RowName]Row {
	out := make(map[RowName]Row, len(rows))
	for _, r := range rows {
		out[RowName{r.Kind, r.Name}] = r
	}
	return out
}

func kindIndex(k Kind) int { return slices.Index(Kinds(), k) }

func change(op Op, from, to Row) Change {
	out := Change{Kind: to.Kind, Name: to.Name, Op: op}
	for _, column := range columns {
		before, after := from.Value(column), to.Value(column)
		if before != after {
			out.Columns = append(out.Columns, ColumnChange{column, before, after})
		}
	}
	return out
}
