package settings_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/router/internal/settings"
)

// TestSettingsPage guards against an operators' page whose keys, ranges or defaults differ
// from the code. On failure, the test prints the rows that the page should have.
func TestSettingsPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/operators/settings.md")
	assert.NilError(t, err)
	var got, want []string
	for _, line := range strings.Split(string(page), "\n") {
		if strings.HasPrefix(line, "| `") {
			got = append(got, line)
		}
	}
	for _, f := range settings.Fields() {
		value := "required"
		if f.Default != "" {
			value = "`" + f.Default + "`"
		}
		want = append(want, fmt.Sprintf("| `%s` | %s | %s |", f.Key(), value, f.Help))
	}
	assert.DeepEqual(t, got, want)
}
