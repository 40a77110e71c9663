package table

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// Error is an error in a table, with its position.
type Error struct {
	File    string `json:"file"`
	Row     int    `json:"row,omitempty"`    // line number in the file, where the header is line 1; 0 if the error has no row
	Column  string `json:"column,omitempty"` // column name; empty if the error concerns the whole row
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

// Errors lists all errors of a table, ordered by file, row and column.
type Errors []Error

// Error returns the errors, one per line.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, item := range e {
		lines = append(lines, item.Error())
	}
	return strings.Join(lines, "\n")
}

// sorted sorts e by position in place and returns it. The sort is stable: errors of
// the same cell keep their order.
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
