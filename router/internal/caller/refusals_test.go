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

// codesInFile returns the values of the string constants in a source file whose
// names start with prefix.
func codesInFile(t *testing.T, path string, prefix string) []string {
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

// documentedCodes returns the HTTP status and the not-run column of each code on
// the page for operators.
func documentedCodes(t *testing.T) map[string][2]string {
	t.Helper()
	page, err := os.ReadFile("../../../docs/operators/refusals.md")
	assert.NilError(t, err)
	out := map[string][2]string{}
	rows := regexp.MustCompile("(?m)^\\| `([a-z-]+)` \\| ([0-9]+) \\| (yes|no|as stated) \\|").FindAllStringSubmatch(string(page), -1)
	for _, row := range rows {
		_, duplicate := out[row[1]]
		assert.Assert(t, !duplicate, row[1])
		out[row[1]] = [2]string{row[2], row[3]}
	}
	return out
}

// TestRefusalsPage guards against refusal codes that the page for operators does
// not list, lists with another status, or lists although no code defines them.
func TestRefusalsPage(t *testing.T) {
	page := documentedCodes(t)
	adapterCodes := codesInFile(t, "error.go", "code")
	coreCodes := append(codesInFile(t, "../../../fleet/core/request.go", "Code"),
		codesInFile(t, "../../../fleet/schedule/schedule.go", "Reason")...)
	known := map[string]bool{core.CodeCallerGone: true}
	for _, code := range adapterCodes {
		known[code] = true
		assert.Equal(t, page[code][1], "yes", code)
	}
	for _, code := range coreCodes {
		if code == core.CodeCallerGone { // the caller has disconnected and cannot receive it
			continue
		}
		known[code] = true
		r := newHarness(t, core.Refuse{Code: code, NotRun: true})
		resp := r.sendWithKey(t, "/v1/completions", `{"model":"chat","prompt":"a"}`)
		assert.Equal(t, strconv.Itoa(resp.status), page[code][0], code)
		assert.Assert(t, resp.status >= http.StatusBadRequest, code)
	}
	for code := range page {
		assert.Assert(t, known[code], "the page lists the undefined code %s", code)
	}
}
