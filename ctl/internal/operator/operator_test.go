package operator_test

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/ctl/internal/operator"
	"ragwortshunt.example/fleet/table"
)

// Guards against invalid arguments that exit with another code than ExitUsage, on
// which scripts rely.
func TestUsageErrors(t *testing.T) {
	for _, args := range []string{
		"", "tabel", "table", "table chek", "table check", "table check a b", "table show", "table show x --platform http://h",
		"table diff - --nope", "table apply - --base-version x", "table show --platform ftp://h", "table show --platform http://h --timeout 0s",
		"key new --id k", "status", "status --router nowhere", "explain --router http://h", "completion tcsh",
	} {
		r := runWith(t, example(t), strings.Fields(args)...)
		assert.Equal(t, r.code, operator.ExitUsage, "%q: %s", args, r.err)
	}
	r := runWith(t, "", "table", "show", "--json")
	assert.Equal(t, r.code, operator.ExitUsage)
	assert.Assert(t, strings.Contains(r.out, `"exit-code": 2`), r.out)
	assert.Equal(t, runWith(t, "", "--help").code, operator.ExitOK)
	assert.Equal(t, runWith(t, "", "table", "check", "no-such-file").code, operator.ExitError)
}

// Guards against ignoring settings from environment variables.
func TestEnvironment(t *testing.T) {
	f := newFakePlatform(t)
	t.Setenv("RAGWORT_PLATFORM", f.url)
	t.Setenv("RAGWORT_TIMEOUT", "20s")
	assert.Equal(t, runWith(t, example(t), "table", "apply", "-").code, operator.ExitOK)
	t.Setenv("RAGWORT_TIMEOUT", "0s")
	assert.Equal(t, runWith(t, "", "table", "show").code, operator.ExitUsage)
}

// Guards against missing or empty shell completion scripts.
func TestCompletion(t *testing.T) {
	for _, shell := range []string{"bash", "zsh", "fish"} {
		r := runWith(t, "", "completion", shell)
		assert.Equal(t, r.code, operator.ExitOK)
		assert.Assert(t, strings.Contains(r.out, "ragwortctl"))
	}
	r := runWith(t, "", "table", "--generate-shell-completion")
	assert.Assert(t, strings.Contains(r.out, "apply"), r.out)
}

// Guards against printing a key that does not authenticate against the printed
// table row.
func TestNewKey(t *testing.T) {
	r := runWith(t, "", "key", "new", "--account", "label-public", "--id", "till-2")
	assert.Equal(t, r.code, operator.ExitOK)
	key, csv, ok := strings.Cut(r.out, "\n\n")
	assert.Assert(t, ok)
	_, row, _ := strings.Cut(csv, "\n")
	s, err := table.Parse(strings.NewReader(example(t)+row), "table")
	assert.NilError(t, err)
	_, err = table.Authenticate(s, key)
	assert.NilError(t, err)
	assert.Equal(t, runWith(t, "", "key", "new", "--account", "a", "--id", "a b").code, operator.ExitError)
}

// newRouter starts a fake router that knows request r1 and returns its URL.
func newRouter(t *testing.T) string {
	m := http.NewServeMux()
	reply := func(body string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte(body)) }
	}
	m.HandleFunc("GET /status", reply(`{"table-version":12345678901234567890,"host":"h\u001b1","cells":[{"model":"m","queued":2},{"model":"n","full":true}],"limit":{"groups":[1,2]}}`))
	m.HandleFunc("GET /explain/r1", reply(`{"request-id":"r1","outcome":"done"}`))
	m.HandleFunc("GET /explain/bad", reply(`null`))
	s := httptest.NewServer(m)
	t.Cleanup(s.Close)
	return s.URL
}

// Guards against router replies that are printed wrongly, lost because another
// router fails, or used without validation.
func TestRouters(t *testing.T) {
	serving, unaware, unreachable := newRouter(t), httptest.NewServer(http.NotFoundHandler()), "http://127.0.0.1:1"
	t.Cleanup(unaware.Close)
	r := runWith(t, "", "status", "--router", serving)
	want := serving + "\nhost           h?1\ntable-version  12345678901234567890\n\ncells\nfull  model  queued\n      m      2\ntrue  n      \n\nlimit\ngroups  [1,2]\n"
	assert.Equal(t, r.out, want)
	assert.Equal(t, r.code, operator.ExitOK)
	r = runWith(t, "", "status", "--router", unreachable, "--router", serving, "--json")
	assert.Equal(t, r.code, operator.ExitNotReachable)
	assert.Assert(t, strings.Contains(r.out, `"table-version": 12345678901234567890`) && strings.Contains(r.out, `"error"`), r.out)

	r = runWith(t, "", "explain", "r1", "--router", unreachable, "--router", unaware.URL, "--router", serving)
	assert.Equal(t, r.code, operator.ExitOK)
	assert.Equal(t, r.out, "outcome     done\nrequest-id  r1\n")
	assert.Equal(t, runWith(t, "", "explain", "r2", "--router", unaware.URL, "--router", serving).code, operator.ExitError)
	assert.Equal(t, runWith(t, "", "explain", "r2", "--router", unreachable, "--router", serving).code, operator.ExitNotReachable)
	assert.Equal(t, runWith(t, "", "explain", "bad", "--router", serving).code, operator.ExitError)
	assert.Equal(t, runWith(t, "", "status", "--router", unaware.URL).code, operator.ExitError)
}
