package caller_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"net/http"
	"os"
	"regexp"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
)

// codesOf returns the string constants of a source file whose names start with
// one of the prefixes.
func codesOf(t *testing.T, path string, prefix string) []string {
	t.Helper()
	file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	assert.NilError(t, err)
	var out []string
	ast.Inspect(file, func(n ast.Node) bool {
		spec, ok := n.(*ast.ValueSpec)
		if !ok || !strings.HasPrefix(spec.Names[0].Name, prefix) || len(spec.Values) != 1 {
			return true
		}
		if lit, ok := spec.Values[0].(*ast.BasicLit); ok && lit.Kind == token.STRING {
			code, err := strconv.Unquote(lit.Value)
			assert.NilError(t, err)
			out = append(out, code)
		}
		return true
	})
	assert.Assert(t, len(out) > 3, path)
	return out
}

// documented maps the codes of the operators' page to their status and not-run.
func documented(t *testing.T) map[string][2]string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/operators/refusals.md")
	assert.NilError(t, err)
	out := map[string][2]string{}
	rows := regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| ([0-9]+) \\| (yes|no|as stated) \\|").FindAllStringSubmatch(string(page), -1)
	for _, row := range rows {
		_, twice := out[row[1]]
		assert.Assert(t, !twice, row[1])
		out[row[1]] = [2]string{row[2], row[3]}
	}
	return out
}

// TestRefusalsPage guards against a code that callers meet and that the
// operators' page lacks, and against a page with another status.
func TestRefusalsPage(t *testing.T) {
	page := documented(t)
	own := codesOf(t, "error.go", "code")
	passed := append(codesOf(t, "../../../fleet/core/request.go", "Code"),
		codesOf(t, "../../../fleet/schedule/schedule.go", "Reason")...)
	known := map[string]bool{core.CodeCallerGone: true}
	for _, code := range own {
		known[code] = true
		assert.Equal(t, page[code][1], "yes", code)
	}
	for _, code := range passed {
		if code == core.CodeCallerGone { // the caller cannot receive it
			continue
		}
		known[code] = true
		r := newRig(t, core.Refuse{Code: code, NotRun: true})
		resp := r.ask(t, "/v1/completions", `{"model":"chat","prompt":"a"}`)
		assert.Equal(t, strconv.Itoa(resp.status), page[code][0], code)
		assert.Assert(t, resp.status >= http.StatusBadRequest, code)
	}
	for code := range page {
		assert.Assert(t, known[code], "the page has the unknown code %s", code)
	}
}
