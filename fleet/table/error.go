package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is one fault in a table, with its position.
type Error struct {
	File    string `json:"file"`
	Row     int    `json:"row,omitempty"`    // line of the file, the header is line 1; 0 if the fault has no row
	Column  string `json:"column,omitempty"` // column name; empty if the fault concerns the whole row
	Message string `json:"message"`
}

// Error returns the position and the message as "file:row: column: message".
func (e Error) Error() string {
	var b strings.Builder
	b.WriteString(e.File)
	if e.Row > 0 {
		fmt.Fprintf(&b, ":%d", e.Row)
	}
	b.WriteString(": ")
	if e.Column != "" {
		b.WriteString(e.Column + ": ")
	}
	b.WriteString(e.Message)
	return b.String()
}

// Errors lists all faults of a table, ordered by file, row and column.
type Errors []Error

// Error returns the faults, one a line.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, one := range e {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// sorted returns e ordered by position. The order of faults in one cell stays.
func (e Errors) sorted() Errors {
	slices.SortStableFunc(e, func(a, b Error) int {
		return cmp.Or(
			cmp.Compare(a.File, b.File),
			cmp.Compare(a.Row, b.Row),
			cmp.Compare(columnIndex(a.Column), columnIndex(b.Column)),
		)
	})
	return e
}
