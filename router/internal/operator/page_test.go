package operator_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// pagesDir holds the operators' pages, which the tests compare with the code.
const pagesDir = "../../../docs/operators/"

// sources returns the concatenated content of the files that match a glob pattern,
// without test files.
func sources(t *testing.T, pattern string) string {
	t.Helper()
	paths, err := filepath.Glob(pattern)
	assert.NilError(t, err)
	var out strings.Builder
	for _, path := range paths {
		if strings.HasSuffix(path, "_test.go") {
			continue
		}
		data, err := os.ReadFile(path)
		assert.NilError(t, err)
		out.Write(data)
	}
	assert.Assert(t, out.Len() > 0, pattern)
	return out.String()
}

// page returns the content of an operators' page.
func page(t *testing.T, name string) string {
	t.Helper()
	data, err := os.ReadFile(pagesDir + name)
	assert.NilError(t, err)
	return string(data)
}

// groups returns the set of all matches of the first capturing group of pattern.
func groups(pattern, text string) map[string]bool {
	out := map[string]bool{}
	for _, m := range regexp.MustCompile(pattern).FindAllStringSubmatch(text, -1) {
		out[m[1]] = true
	}
	return out
}

// TestMetricsPage guards against metrics that are missing in the operators' page, and
// against rows for metrics that no longer exist.
func TestMetricsPage(t *testing.T) {
	want := groups(`Metric\w+ += "([a-z-]+)"`, sources(t, "../../../fleet/core/explain.go"))
	for name := range groups(`\.(?:Endpoint)?Gauges?\("([a-z-]+)"`, sources(t, "../app/*.go")) {
		want[name] = true
	}
	assert.Assert(t, len(want) > 10)
	got := map[string]bool{}
	for name := range groups("(?m)^\\| `ragwortshunt_([a-z_]+)` \\|", page(t, "metrics.md")) {
		got[strings.ReplaceAll(name, "_", "-")] = true
	}
	assert.DeepEqual(t, got, want)
}

// TestFailureCodesPage guards against codes of failed attempts that are missing in the
// operators' page.
func TestFailureCodesPage(t *testing.T) {
	text := page(t, "metrics.md")
	for _, codes := range []map[string]bool{
		groups(`\bcode[A-Z]\w+ += "([a-z-]+)"`, sources(t, "../endpoint/*.go")),
		groups(`\bCode[A-Z]\w+ += "([a-z-]+)"`, sources(t, "../../../fleet/engine/*.go")),
		groups(`\bcode[A-Z]\w+ += "([a-z-]+)"`, sources(t, "../../../fleet/core/*.go")),
	} {
		assert.Assert(t, len(codes) > 0)
		for name := range codes {
			assert.Assert(t, strings.Contains(text, "| `"+name+"` |"), name)
		}
	}
}

// TestLogsPage guards against log messages and prefixes that are missing in the
// operators' page. A message starts with a capital letter and ends with a full stop.
func TestLogsPage(t *testing.T) {
	text := page(t, "logs.md")
	messages := groups(`\.(?:Info|Warn|Error)\("([a-z]+: [A-Z][^"]*\.)"`, sources(t, "../*/*.go"))
	for message := range groups(`\.(?:Info|Warn|Error)\("([a-z]+: [A-Z][^"]*\.)"`, sources(t, "../../../platform/*/*.go")) {
		messages[message] = true
	}
	for message := range groups(`logFailure\("([A-Z][^"]*\.)"`, sources(t, "../../../platform/store/*.go")) {
		messages["store: "+message] = true
	}
	assert.Assert(t, len(messages) >= 30)
	for message := range messages {
		assert.Assert(t, strings.Contains(text, "| `"+message+"` |"), message)
	}
	core := sources(t, "../../../fleet/core/*.go")
	coreMessages := groups(`(?:s\.log\(Log\w+, part\w+, |s\.logQuarantine\(Log\w+, |Text: |e\.Text = |return )"([A-Z][^"]*(?:\.|: ))"`, core)
	assert.Assert(t, len(coreMessages) >= 11)
	for message := range coreMessages {
		assert.Assert(t, strings.Contains(text, ": "+message), message)
	}
	for _, part := range []string{"partTable", "partPeer", "partRequest", "partQuarantine", "partPace"} {
		for prefix := range groups(part+` = "([a-z]+)"`, core) {
			assert.Assert(t, strings.Contains(text, "## `"+prefix+"`"), prefix)
		}
	}
}
