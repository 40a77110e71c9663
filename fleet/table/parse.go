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

// maxInputBytes is the maximum size of a table that Parse reads, in bytes.
const maxInputBytes = 64 << 20

// byteOrderMark is the UTF-8 byte order mark that spreadsheets write before the header.
const byteOrderMark = "\uFEFF"

// reference is a cell that refers to another row by name.
type reference struct {
	pos    position
	column string
	to     RowName
}

// parser collects the rows and errors of a table.
type parser struct {
	snap      *Snapshot
	errs      Errors
	rows      map[RowName]position // includes invalid rows
	refs      []reference
	addresses map[string]id.Endpoint
}

// Parse reads the CSV form of a table. Errors refer to the file by the given name.
//
// Columns can have any order and can be omitted. A byte order mark, quoted
// cells, CRLF, blank rows and blank trailing columns are accepted. Blank cells
// get the default of their column. The version of the result is 0.
//
// Parse wraps an error from reading r. Any other error is of type Errors and lists all
// errors in the table.
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

// result runs the checks across rows and returns the snapshot or all errors.
func (p *parser) result(name string) (*Snapshot, error) {
	if len(p.rows) == 0 && len(p.errs) == 0 {
		p.addErrorf(position{file: name}, "", "the table has no rows")
	}
	p.checkReferences()
	p.checkRoutes()
	if len(p.errs) > 0 {
		return nil, p.errs.sorted()
	}
	return p.snap, nil
}

func (p *parser) addErrorf(pos position, column, format string, args ...any) {
	p.errs = append(p.errs, Error{
		File:    pos.file,
		Row:     pos.row,
		Column:  column,
		Message: fmt.Sprintf(format, args...),
	})
}

// describeRow describes the row at other for a message about the row at pos. It omits
// the file if both are in the same file.
func (p *parser) describeRow(pos, other position) string {
	if pos.file == other.file {
		return fmt.Sprintf("row %d", other.row)
	}
	return fmt.Sprintf("row %d of %s", other.row, other.file)
}

// read decodes the rows of one file. It returns only errors from reading r; errors in
// the table are collected in p.
func (p *parser) read(r io.Reader, file string) error {
	in := bufio.NewReader(&limitReader{r: r, remaining: maxInputBytes})
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
				p.addErrorf(position{file: file}, "", "the file is empty")
			}
			return nil
		case errors.As(err, &syntax):
			p.addErrorf(position{file, syntax.StartLine}, "", "malformed CSV: %v", syntax.Err)
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

// The indexes that stand for columns of the file that are not in columns.
const (
	unnamedColumn = -1 // its cells must be blank
	unknownColumn = -2 // its cells are skipped, as the header is reported as invalid
)

// header returns the index in columns of each column of the file, or nil if rows
// cannot be decoded with this header.
func (p *parser) header(pos position, record []string) []int {
	if len(record) == 1 && strings.Contains(record[0], ";") {
		p.addErrorf(pos, "", "the columns are separated by semicolons; save the table with commas")
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
			p.addErrorf(pos, "", "column %d: %q is unknown", i+1, clip(name))
		case slices.Contains(out, at):
			p.addErrorf(pos, name, "the column occurs twice")
		}
		out = append(out, at)
	}
	if !slices.Contains(out, columnIndex(colKind)) || !slices.Contains(out, columnIndex(colName)) {
		p.addErrorf(pos, "", "the header needs the columns %s and %s", colKind, colName)
		return nil
	}
	return out
}

// record decodes one row.
func (p *parser) record(pos position, header []int, record []string) {
	f := &fields{p: p, pos: pos, subject: "the row"}
	if !f.readCells(header, record) {
		return
	}
	kind := Kind(f.choice(colKind, "", kindNames...))
	subject, ok := kindPhrases[kind]
	if !ok {
		return
	}
	f.subject = subject
	if p.registerRow(f, RowName{kind, f.cells[columnIndex(colName)]}) {
		p.decode(kind, f)
	}
}

// readCells copies the cells of a row and reports whether any of them is not blank.
func (f *fields) readCells(header []int, record []string) bool {
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
			f.addErrorf("", "column %d has the value %q but no name in the header", i+1, clip(v))
		case unknownColumn:
		default:
			f.cells[at] = v
		}
	}
	return filled
}

// kindNames holds the valid values of the kind column.
var kindNames = []string{
	string(KindAccount), string(KindPool), string(KindEndpoint), string(KindRoute), string(KindKey),
}

// kindPhrases maps each kind to its name with an article, for messages.
var kindPhrases = map[Kind]string{
	KindAccount:  "an account",
	KindPool:     "a pool",
	KindEndpoint: "an endpoint",
	KindRoute:    "a route",
	KindKey:      "a key",
}

// registerRow records the position of a row and reports whether its name is new.
func (p *parser) registerRow(f *fields, name RowName) bool {
	first, ok := p.rows[name]
	if ok && name.Name != "" {
		f.addErrorf(colName, "%s %q is already defined in %s", name.Kind, clip(name.Name), p.describeRow(f.pos, first))
		return false
	}
	p.rows[name] = f.pos
	return true
}

// checkReferences adds an error for each reference to a row that does not exist.
func (p *parser) checkReferences() {
	for _, ref := range p.refs {
		if _, ok := p.rows[ref.to]; !ok {
			p.addErrorf(ref.pos, ref.column, "%s %q is unknown", ref.to.Kind, ref.to.Name)
		}
	}
}

// checkRoutes adds an error for each route whose pools have the wrong roles for it.
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
			p.addErrorf(pos, colPool, "pool %q has the role %s; a service route needs the role %s", r.Pool, pool.Role, RoleService)
		}
	}
}

func (p *parser) checkModel(pos position, model id.Model, roles map[Role]bool) {
	for _, role := range []Role{RolePrefill, RoleDecode} {
		if !roles[role] {
			p.addErrorf(pos, colModel, "model %q has no %s pool", clip(string(model)), role)
		}
	}
}

// errTooLarge reports an input of more than maxInputBytes bytes.
var errTooLarge = fmt.Errorf("the table has more than %d bytes", maxInputBytes)

// limitReader returns errTooLarge once more than remaining bytes have been read.
type limitReader struct {
	r         io.Reader
	remaining int64
}

// Read implements io.Reader.
func (l *limitReader) Read(b []byte) (int, error) {
	n, err := l.r.Read(b)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errTooLarge
	}
	return n, err
}
