package table

import (
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"
)

// position is the place of a row.
type position struct {
	file string
	row  int
}

// fields gives typed access to the cells of one row and records each fault. A
// reader marks its column as one that applies to the row.
type fields struct {
	p     *parser
	pos   position
	what  string               // what the row describes, for messages
	cells [len(columns)]string // values by place of the column
	used  [len(columns)]bool
}

func (f *fields) fail(column, format string, args ...any) {
	f.p.fail(f.pos, column, format, args...)
}

func (f *fields) text(column string) string {
	i := columnIndex(column)
	f.used[i] = true
	return f.cells[i]
}

// required returns the value of a column that must not be blank.
func (f *fields) required(column string) (string, bool) {
	v := f.text(column)
	if v == "" {
		f.fail(column, "%s needs a value", f.what)
	}
	return v, v != ""
}

func (f *fields) name(column string) string {
	v, ok := f.required(column)
	if ok && !validName(v) {
		f.fail(column, "%q is not a name: use 1 to %d letters, digits, '.', '_' and '-', starting with a letter or digit", clip(v), maxName)
	}
	return v
}

// reference returns a name that must be the name of a row of the given kind.
func (f *fields) reference(column string, kind Kind) string {
	v := f.name(column)
	if validName(v) {
		f.p.refs = append(f.p.refs, reference{f.pos, column, RowName{kind, v}})
	}
	return v
}

func (f *fields) integer(n number) int64 {
	v := f.text(n.column)
	if v == "" {
		if n.required {
			f.fail(n.column, "%s needs a value from %d to %d", f.what, n.min, n.max)
		}
		return n.def
	}
	i, err := strconv.ParseInt(v, 10, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		f.fail(n.column, "%s does not fit: the range is %d to %d", clip(v), n.min, n.max)
	case err != nil:
		f.fail(n.column, "%q is not a whole number", clip(v))
	case i == 0 && n.min > 0:
		f.fail(n.column, "a limit of zero is not allowed: the range is %d to %d", n.min, n.max)
	case i < n.min || i > n.max:
		f.fail(n.column, "%d is out of range: the range is %d to %d", i, n.min, n.max)
	}
	return i
}

func (f *fields) duration(n number, unit time.Duration) time.Duration {
	v := f.integer(n)
	if v > n.max || v < n.min {
		return 0
	}
	return time.Duration(v) * unit
}

func (f *fields) flag(column string, def bool) bool {
	v := f.text(column)
	switch strings.ToLower(v) {
	case "":
		return def
	case flagYes, "true":
		return true
	case flagNo, "false":
		return false
	}
	f.fail(column, "%q is unknown: use yes or no", clip(v))
	return def
}

// choice returns one of the allowed values. An empty default requires a value.
func (f *fields) choice(column, def string, allowed ...string) string {
	v := strings.ToLower(f.text(column))
	if v == "" && def != "" {
		return def
	}
	if v == "" {
		f.fail(column, "%s needs a value: use %s", f.what, strings.Join(allowed, ", "))
		return ""
	}
	if !slices.Contains(allowed, v) {
		f.fail(column, "%q is unknown: use %s", clip(v), strings.Join(allowed, ", "))
	}
	return v
}

// address returns the canonical form of an ip:port.
func (f *fields) address(column string) string {
	v, ok := f.required(column)
	if !ok {
		return ""
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		f.fail(column, "%q is not an ip:port", clip(v))
		return ""
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		f.fail(column, "%q is not the address of one endpoint", clip(v))
	}
	return a.String()
}

// hexBytes returns the lower-case hex form of min to max bytes.
func (f *fields) hexBytes(column string, minBytes, maxBytes int) string {
	v, ok := f.required(column)
	if !ok {
		return ""
	}
	v = strings.ToLower(v)
	b, err := hex.DecodeString(v)
	if err != nil {
		f.fail(column, "the value is not hex")
		return ""
	}
	if len(b) < minBytes || len(b) > maxBytes {
		f.fail(column, "the value has %d bytes: the range is %d to %d", len(b), minBytes, maxBytes)
	}
	return v
}

// finish reports values in columns that do not apply to the row.
func (f *fields) finish() {
	for i, column := range columns {
		if f.cells[i] != "" && !f.used[i] {
			f.fail(column, "the column does not apply to %s; leave the cell blank", f.what)
		}
	}
}

// maxName is the largest length of a name, in bytes.
const maxName = 63

// validName tells whether v can stand in URL paths, object names and keys.
func validName(v string) bool {
	if v == "" || len(v) > maxName {
		return false
	}
	for i, c := range []byte(v) {
		letter := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9'
		mark := c == '.' || c == '_' || c == '-'
		if !letter && (i == 0 || !mark) {
			return false
		}
	}
	return true
}

// clipLength is the largest part of a value that a message repeats, in bytes.
const clipLength = 80

// clip shortens a value for use in a message.
func clip(v string) string {
	if len(v) <= clipLength {
		return v
	}
	return fmt.Sprintf("%s...", strings.ToValidUTF8(v[:clipLength], ""))
}
