package table

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"time"

	"ragwortshunt.example/fleet/message"
)

// Cell is the value of one column of a row.
type Cell struct {
	Column string `json:"column"`
	Value  string `json:"value"`
}

// Row is a row of the table in text form. Cells holds the columns that apply to the
// row, except kind and name, in canonical order.
type Row struct {
	Kind  Kind   `json:"kind"`
	Name  string `json:"name"`
	Cells []Cell `json:"cells"`
}

// Value returns the value of a column, or "" if the column does not apply.
func (r Row) Value(column string) string {
	switch column {
	case colKind:
		return string(r.Kind)
	case colName:
		return r.Name
	}
	for _, c := range r.Cells {
		if c.Column == column {
			return c.Value
		}
	}
	return ""
}

// record returns the CSV record of the row, with the values of all columns.
func (r Row) record() []string {
	out := make([]string, len(columns))
	out[columnIndex(colKind)] = string(r.Kind)
	out[columnIndex(colName)] = r.Name
	for _, c := range r.Cells {
		out[columnIndex(c.Column)] = c.Value
	}
	return out
}

// RowName identifies a row.
type RowName struct {
	Kind Kind   `json:"kind"`
	Name string `json:"name"`
}

// Rows returns the rows of s, ordered by kind and name. A nil snapshot has none.
func Rows(s *Snapshot) []Row {
	if s == nil {
		return nil
	}
	var out []Row
	for _, name := range slices.Sorted(maps.Keys(s.Accounts)) {
		out = append(out, accountRow(s.Accounts[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Pools)) {
		out = append(out, poolRow(s.Pools[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Endpoints)) {
		out = append(out, endpointRow(s.Endpoints[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Routes)) {
		out = append(out, routeRow(s.Routes[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(s.Keys)) {
		out = append(out, KeyRow(s.Keys[name]))
	}
	return out
}

// newRow returns a row with its cells in canonical order.
func newRow(kind Kind, name string, cells ...Cell) Row {
	slices.SortFunc(cells, func(a, b Cell) int {
		return cmp.Compare(columnIndex(a.Column), columnIndex(b.Column))
	})
	return Row{Kind: kind, Name: name, Cells: cells}
}

func accountRow(a Account) Row {
	return newRow(
		KindAccount, string(a.Name),
		integerCell(colWeight, a.Weight),
		integerCell(colRate, a.Rate),
		integerCell(colBurst, a.Burst),
	)
}

func poolRow(p Pool) Row {
	cells := []Cell{
		{colRole, string(p.Role)},
		integerCell(colSlots, p.Slots),
		integerCell(colMaxQueue, p.MaxQueue),
	}
	if p.Role != RoleService {
		cells = append(
			cells,
			Cell{colModel, string(p.Model)},
			integerCell(colBlocks, p.Blocks),
			integerCell(colBlockTokens, p.BlockTokens),
			integerCell(colLinkRate, p.LinkRate),
		)
	}
	if p.Role == RolePrefill {
		cells = append(cells, integerCell(colPrefillRate, p.PrefillRate))
	}
	return newRow(KindPool, string(p.Name), cells...)
}

func endpointRow(e Endpoint) Row {
	return newRow(
		KindEndpoint, string(e.Name),
		Cell{colPool, string(e.Pool)},
		Cell{colZone, string(e.Zone)},
		Cell{colAddress, e.Address},
		Cell{colFencing, string(e.Fencing)},
		Cell{colState, string(e.State)},
	)
}

func routeRow(r Route) Row {
	cells := []Cell{
		{colClass, className(r.Class)},
		flagCell(colOpen, r.Open),
		durationCell(colMaxStaleness, r.MaxStaleness, unitStaleness),
	}
	if r.Open {
		cells = append(cells, Cell{colAccount, string(r.Account)})
	}
	if r.Pool != "" {
		cells = append(cells, Cell{colPool, string(r.Pool)}, flagCell(colIdempotent, r.Idempotent))
		return newRow(KindRoute, string(r.Name), cells...)
	}
	cells = append(
		cells,
		Cell{colModel, string(r.Model)},
		durationCell(colFirstToken, r.FirstToken, unitTarget),
		durationCell(colBetweenTokens, r.BetweenTokens, unitTarget),
		flagCell(colCanWait, r.CanWait),
		integerCell(colMaxTokens, r.MaxTokens),
	)
	return newRow(KindRoute, string(r.Name), cells...)
}

// KeyRow returns the text form of a key.
func KeyRow(k Key) Row {
	return newRow(
		KindKey, string(k.ID),
		Cell{colAccount, string(k.Account)},
		Cell{colState, string(k.State)},
		Cell{colSalt, k.Salt},
		Cell{colHash, k.Hash},
	)
}

func integerCell(column string, v int64) Cell {
	return Cell{Column: column, Value: strconv.FormatInt(v, 10)}
}

// durationCell returns a cell with d in the given unit. If d is not a whole multiple of
// the unit, the value has a fraction, which Parse rejects.
func durationCell(column string, d, unit time.Duration) Cell {
	if d%unit == 0 {
		return integerCell(column, int64(d/unit))
	}
	value := strconv.FormatFloat(float64(d)/float64(unit), 'f', -1, 64)
	return Cell{Column: column, Value: value}
}

func flagCell(column string, v bool) Cell {
	if v {
		return Cell{Column: column, Value: flagYes}
	}
	return Cell{Column: column, Value: flagNo}
}

// The canonical values of boolean columns.
const (
	flagYes = "yes"
	flagNo  = "no"
)

// The names of the service classes.
const (
	classInteractive = "interactive"
	classDeferrable  = "deferrable"
)

func className(c message.Class) string {
	switch c {
	case message.ClassInteractive:
		return classInteractive
	case message.ClassDeferrable:
		return classDeferrable
	}
	return "class-" + strconv.Itoa(int(c))
}
