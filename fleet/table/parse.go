package table

import (
	"bufio"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"

	"ragwortshunt.example/fleet/id"
)

// maxInput is the largest size of a table that Parse reads, in bytes.
const maxInput = 64 << 20

// byteOrderMark is what spreadsheets write before the header.
const byteOrderMark = "\uFEFF"

// reference is the mention of another row.
type reference struct {
	pos    position
	column string
	to     RowName
}

// parser collects the rows and faults of one table.
type parser struct {
	snap      *Snapshot
	errs      Errors
	rows      map[RowName]position // also rows with faults
	refs      []reference
	addresses map[string]id.Endpoint
}

// Parse reads the CSV form of a table. The name stands for the file in errors.
//
// Columns can stand in any order and can be left out. A byte order mark, quoted
// cells, CRLF, blank rows and blank trailing columns are accepted. Blank cells
// get the default of their column. The version of the result is 0.
//
// An error from reading r is returned as it is. For any other fault the error
// is of type Errors and lists all faults.
func Parse(r io.Reader, name string) (*Snapshot, error) {
	p := newParser()
	if err := p.read(r, name); err != nil {
		return nil, err
	}
	return p.result(name)
}

func newParser() *parser {
	return &parser{
		snap: &Snapshot{
			Accounts:  map[id.Account]Account{},
			Pools:     map[id.Pool]Pool{},
			Endpoints: map[id.Endpoint]Endpoint{},
			Routes:    map[id.Route]Route{},
			Keys:      map[id.KeyID]Key{},
		},
		rows:      map[RowName]position{},
		addresses: map[string]id.Endpoint{},
	}
}

// result runs the checks across rows and returns the snapshot or all faults.
func (p *parser) result(name string) (*Snapshot, error) {
	if len(p.rows) == 0 && len(p.errs) == 0 {
		p.fail(position{file: name}, "", "the table has no rows")
	}
	p.checkReferences()
	p.checkRoutes()
	if len(p.errs) > 0 {
		return nil, p.errs.sorted()
	}
	return p.snap, nil
}

func (p *parser) fail(pos position, column, format string, args ...any) {
	p.errs = append(p.errs, Error{
		File:    pos.file,
		Row:     pos.row,
		Column:  column,
		Message: fmt.Sprintf(format, args...),
	})
}

// place names a row for a message about the row at pos.
func (p *parser) place(pos, other position) string {
	if pos.file == other.file {
		return fmt.Sprintf("row %d", other.row)
	}
	return fmt.Sprintf("row %d of %s", other.row, other.file)
}

// read decodes the rows of one file. It returns only errors of r.
func (p *parser) read(r io.Reader, file string) error {
	in := bufio.NewReader(&limitReader{r: r, left: maxInput})
	if mark, err := in.Peek(len(byteOrderMark)); err == nil && string(mark) == byteOrderMark {
		_, _ = in.Discard(len(byteOrderMark))
	}
	c := csv.NewReader(in)
	c.FieldsPerRecord = -1
	c.ReuseRecord = true
	var header []int
	for {
		record, err := c.Read()
		var syntax *csv.ParseError
		switch {
		case errors.Is(err, io.EOF):
			if header == nil && len(p.errs) == 0 {
				p.fail(position{file: file}, "", "the file is empty")
			}
			return nil
		case errors.As(err, &syntax):
			p.fail(position{file, syntax.StartLine}, "", "malformed CSV: %v", syntax.Err)
			continue
		case err != nil:
			return fmt.Errorf("read %s: %w", file, err)
		}
		line, _ := c.FieldPos(0)
		pos := position{file, line}
		if header != nil {
			p.record(pos, header, record)
			continue
		}
		header = p.header(pos, record)
		if header == nil {
			return nil
		}
	}
}

// The places of columns of the file that are not in columns.
const (
	unnamedColumn = -1 // its cells have to be blank
	unknownColumn = -2 // its cells are skipped: the header has a fault
)

// header returns the place in columns of each column of the file, or nil if the
// rows cannot be read with them.
func (p *parser) header(pos position, record []string) []int {
	if len(record) == 1 && strings.Contains(record[0], ";") {
		p.fail(pos, "", "the columns are separated by semicolons; save the table with commas")
		return nil
	}
	out := make([]int, 0, len(record))
	for i, cell := range record {
		name := strings.TrimSpace(cell)
		at := columnIndex(name)
		switch {
		case name == "":
			at = unnamedColumn
		case at < 0:
			at = unknownColumn
			p.fail(pos, "", "column %d: %q is unknown", i+1, clip(name))
		case slices.Contains(out, at):
			p.fail(pos, name, "the column occurs twice")
		}
		out = append(out, at)
	}
	if !slices.Contains(out, columnIndex(colKind)) || !slices.Contains(out, columnIndex(colName)) {
		p.fail(pos, "", "the header needs the columns %s and %s", colKind, colName)
		return nil
	}
	return out
}

// record decodes one row.
func (p *parser) record(pos position, header []int, record []string) {
	f := &fields{p: p, pos: pos, what: "the row"}
	if !f.fill(header, record) {
		return
	}
	kind := Kind(f.choice(colKind, "", kindNames...))
	what, ok := articles[kind]
	if !ok {
		return
	}
	f.what = what
	if p.claim(f, RowName{kind, f.cells[columnIndex(colName)]}) {
		p.decode(kind, f)
	}
}

// fill copies the cells of a row and reports whether the row has any.
func (f *fields) fill(header []int, record []string) bool {
	filled := false
	for i, cell := range record {
		v := strings.TrimSpace(cell)
		if v == "" {
			continue
		}
		filled = true
		at := unnamedColumn
		if i < len(header) {
			at = header[i]
		}
		switch at {
		case unnamedColumn:
			f.fail("", "column %d has the value %q but no name in the header", i+1, clip(v))
		case unknownColumn:
		default:
			f.cells[at] = v
		}
	}
	return filled
}

// kindNames holds the kinds as values of their column.
var kindNames = []string{
	string(KindAccount), string(KindPool), string(KindEndpoint), string(KindRoute), string(KindKey),
}

// articles holds the kinds with their articles, for messages.
var articles = map[Kind]string{
	KindAccount:  "an account",
	KindPool:     "a pool",
	KindEndpoint: "an endpoint",
	KindRoute:    "a route",
	KindKey:      "a key",
}

// claim records the place of a row and reports whether its name is new.
func (p *parser) claim(f *fields, name RowName) bool {
	first, ok := p.rows[name]
	if ok && name.Name != "" {
		f.fail(colName, "%s %q is already defined in %s", name.Kind, clip(name.Name), p.place(f.pos, first))
		return false
	}
	p.rows[name] = f.pos
	return true
}

// checkReferences reports mentions of rows that do not exist.
func (p *parser) checkReferences() {
	for _, ref := range p.refs {
		if _, ok := p.rows[ref.to]; !ok {
			p.fail(ref.pos, ref.column, "%s %q is unknown", ref.to.Kind, ref.to.Name)
		}
	}
}

// checkRoutes reports routes whose endpoints cannot serve them.
func (p *parser) checkRoutes() {
	roles := map[id.Model]map[Role]bool{}
	for _, pool := range p.snap.Pools {
		if roles[pool.Model] == nil {
			roles[pool.Model] = map[Role]bool{}
		}
		roles[pool.Model][pool.Role] = true
	}
	for _, name := range slices.Sorted(maps.Keys(p.snap.Routes)) {
		r := p.snap.Routes[name]
		pos := p.rows[RowName{KindRoute, string(name)}]
		if r.Model != "" {
			p.checkModel(pos, r.Model, roles[r.Model])
			continue
		}
		pool, ok := p.snap.Pools[r.Pool]
		if ok && pool.Role != RoleService {
			p.fail(pos, colPool, "pool %q has the role %s; a service route needs the role %s", r.Pool, pool.Role, RoleService)
		}
	}
}

func (p *parser) checkModel(pos position, model id.Model, roles map[Role]bool) {
	for _, role := range []Role{RolePrefill, RoleDecode} {
		if !roles[role] {
			p.fail(pos, colModel, "model %q has no %s pool", clip(string(model)), role)
		}
	}
}

// errTooLarge tells that the input exceeds maxInput.
var errTooLarge = fmt.Errorf("the table has more than %d bytes", maxInput)

// limitReader fails once more than left bytes are read.
type limitReader struct {
	r    io.Reader
	left int64
}

// Read reads from the underlying reader until the limit.
func (l *limitReader) Read(b []byte) (int, error) {
	n, err := l.r.Read(b)
	l.left -= int64(n)
	if l.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}
