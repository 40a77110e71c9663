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

// position is the file and line of a row.
type position struct {
	file string
	row  int
}

// fields gives typed access to the cells of a row and collects errors. The accessors
// mark their column as used, which means that it applies to the row.
type fields struct {
	p       *parser
	pos     position
	subject string               // description of the row for messages, such as "a prefill pool"
	cells   [len(columns)]string // values by column index
	used    [len(columns)]bool
}

func (f *fields) addErrorf(column, format string, args ...any) {
	f.p.addErrorf(f.pos, column, format, args...)
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
		f.addErrorf(column, "%s needs a value", f.subject)
	}
	return v, v != ""
}

func (f *fields) name(column string) string {
	v, ok := f.required(column)
	if ok && !validName(v) {
		f.addErrorf(column, "%q is not a name: use 1 to %d letters, digits, '.', '_' and '-', starting with a letter or digit", clip(v), maxNameBytes)
	}
	return v
}

// reference returns the value of a column that must name a row of the given kind. The
// existence of that row is checked after all rows are read.
func (f *fields) reference(column string, kind Kind) string {
	v := f.name(column)
	if validName(v) {
		f.p.refs = append(f.p.refs, reference{f.pos, column, RowName{kind, v}})
	}
	return v
}

func (f *fields) integer(n numericColumn) int64 {
	v := f.text(n.column)
	if v == "" {
		if n.required {
			f.addErrorf(n.column, "%s needs a value from %d to %d", f.subject, n.min, n.max)
		}
		return n.def
	}
	i, err := strconv.ParseInt(v, 10, 64)
	switch {
	case errors.Is(err, strconv.ErrRange):
		f.addErrorf(n.column, "%s does not fit: the range is %d to %d", clip(v), n.min, n.max)
	case err != nil:
		f.addErrorf(n.column, "%q is not a whole number", clip(v))
	case i == 0 && n.min > 0:
		f.addErrorf(n.column, "a limit of zero is not allowed: the range is %d to %d", n.min, n.max)
	case i < n.min || i > n.max:
		f.addErrorf(n.column, "%d is out of range: the range is %d to %d", i, n.min, n.max)
	}
	return i
}

func (f *fields) duration(n numericColumn, unit time.Duration) time.Duration {
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
	f.addErrorf(column, "%q is unknown: use yes or no", clip(v))
	return def
}

// choice returns the value of a column that must be one of the allowed values. Without
// a default the cell must not be blank.
func (f *fields) choice(column, def string, allowed ...string) string {
	v := strings.ToLower(f.text(column))
	if v == "" && def != "" {
		return def
	}
	if v == "" {
		f.addErrorf(column, "%s needs a value: use %s", f.subject, strings.Join(allowed, ", "))
		return ""
	}
	if !slices.Contains(allowed, v) {
		f.addErrorf(column, "%q is unknown: use %s", clip(v), strings.Join(allowed, ", "))
	}
	return v
}

// address returns the value of an ip:port column in canonical form.
func (f *fields) address(column string) string {
	v, ok := f.required(column)
	if !ok {
		return ""
	}
	a, err := netip.ParseAddrPort(v)
	if err != nil {
		f.addErrorf(column, "%q is not an ip:port", clip(v))
		return ""
	}
	if a.Port() == 0 || a.Addr().IsUnspecified() || a.Addr().IsMulticast() || a.Addr().Zone() != "" {
		f.addErrorf(column, "%q is not the address of one endpoint", clip(v))
	}
	return a.String()
}

// hexBytes returns the value of a column with minBytes to maxBytes hex-encoded bytes, in
// lower case.
func (f *fields) hexBytes(column string, minBytes, maxBytes int) string {
	v, ok := f.required(column)
	if !ok {
		return ""
	}
	v = strings.ToLower(v)
	b, err := hex.DecodeString(v)
	if err != nil {
		f.addErrorf(column, "the value is not hex")
		return ""
	}
	if len(b) < minBytes || len(b) > maxBytes {
		f.addErrorf(column, "the value has %d bytes: the range is %d to %d", len(b), minBytes, maxBytes)
	}
	return v
}

// checkUnused adds an error for each value in a column that does not apply to the row.
func (f *fields) checkUnused() {
	for i, column := range columns {
		if f.cells[i] != "" && !f.used[i] {
			f.addErrorf(column, "the column does not apply to %s; leave the cell blank", f.subject)
		}
	}
}

// maxNameBytes is the maximum length of a name, in bytes.
const maxNameBytes = 63

// validName reports whether v can be used in URL paths, object names and keys.
func validName(v string) bool {
	if v == "" || len(v) > maxNameBytes {
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

// maxClipBytes is the maximum length of a value quoted in a message, in bytes.
const maxClipBytes = 80

// clip truncates a value for use in a message.
func clip(v string) string {
	if len(v) <= maxClipBytes {
		return v
	}
	return fmt.Sprintf("%s...", strings.ToValidUTF8(v[:maxClipBytes], ""))
}
