package operator_test

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/ctl/internal/operator"
	"ragwortshunt.example/fleet/table"
)

// The rows that the tests change.
const (
	marketRow  = "account,fishguard-market,,2,"
	marketRow3 = "account,fishguard-market,,3,"
	marketRow9 = "account,fishguard-market,,9,"
	publicRow  = "account,label-public,,1,"
	publicRow5 = "account,label-public,,5,"
)

// Guards against wrong results of the table commands without faults.
func TestTableCommands(t *testing.T) {
	f := newFake(t)
	bad := runWith(t, "kind,name\naccount,a\n", "table", "check", "-")
	assert.Equal(t, bad.code, operator.ExitInvalidTable)
	assert.Assert(t, strings.Contains(bad.err, "standard-input:2: rate-tokens-per-s: an account needs a value"), bad.err)
	assert.Equal(t, f.apply(t, "kind,name\naccount,a\n").code, operator.ExitInvalidTable)
	assert.Equal(t, runWith(t, "", "table", "show", "--platform", f.url).code, operator.ExitError)

	good := runWith(t, "", "table", "check", "../../../examples/wales.csv")
	assert.DeepEqual(t, good.out, "the table is valid: 33 rows, 0 warnings\n")
	first, second := example(t), example(t, marketRow, marketRow3)
	assert.Equal(t, f.apply(t, first).code, operator.ExitOK)
	diff := runWith(t, second, "table", "diff", "-", "--platform", f.url)
	assert.Equal(t, diff.out, "~ account fishguard-market weight=2->3\n")
	applied := f.apply(t, second, "--json", "--base-version", "1")
	assert.Equal(t, applied.code, operator.ExitOK)
	assert.Assert(t, strings.Contains(applied.out, `"version": 2`) && strings.Contains(applied.out, `"segments-written": 1`), applied.out)
	version, csv := f.shown(t)
	assert.Equal(t, version, uint64(2))
	assert.Equal(t, csv, second)
	assert.Assert(t, strings.Contains(f.apply(t, second).err, "version 2 is in force"))
	assert.Equal(t, f.versions["manifest/table"], uint64(2))
}

// Guards against an operator who overwrites a change that raced with his own.
func TestApplyRace(t *testing.T) {
	for _, c := range []struct{ name, other, want string }{
		{"same row", example(t, marketRow, marketRow9, publicRow, publicRow5), `account "fishguard-market"`},
		{"other row", example(t, publicRow, publicRow5), "no row was changed by both sides"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFake(t)
			assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
			f.on(http.MethodPut, "manifest", func(n int) fault {
				if n == 1 {
					assert.Equal(t, f.apply(t, c.other).code, operator.ExitOK)
				}
				return fault{}
			})
			r := f.apply(t, example(t, marketRow, marketRow3))
			assert.Equal(t, r.code, operator.ExitConflict, r.err)
			assert.Assert(t, strings.Contains(r.err, c.want), r.err)
			assert.Assert(t, !strings.Contains(r.err, "label-public"), r.err)
			version, csv := f.shown(t)
			assert.Equal(t, version, uint64(2))
			assert.Equal(t, csv, c.other)
		})
	}
}

// Guards against applying a file that is based on an older table.
func TestApplyBaseVersion(t *testing.T) {
	f := newFake(t)
	for i := 1; i <= 8; i++ {
		row := fmt.Sprintf("account,fishguard-market,,%d,", 10+i)
		assert.Equal(t, f.apply(t, example(t, marketRow, row)).code, operator.ExitOK)
	}
	edited := example(t, marketRow, "account,fishguard-market,,99,")
	r := f.apply(t, edited, "--base-version", "5", "--json")
	assert.Equal(t, r.code, operator.ExitConflict)
	assert.Assert(t, strings.Contains(r.out, `"name": "fishguard-market"`), r.out)
	r = f.apply(t, edited, "--base-version", "1")
	assert.Equal(t, r.code, operator.ExitConflict)
	assert.Assert(t, strings.Contains(r.err, "cannot be read"), r.err)
	assert.Equal(t, f.apply(t, edited, "--base-version", "8").code, operator.ExitOK)
}

// Guards against reporting a change as failed or done when the reply of the
// commit was lost.
func TestApplyLostReply(t *testing.T) {
	changed, other := example(t, marketRow, marketRow3), example(t, publicRow, publicRow5)
	for _, c := range []struct {
		name  string
		hook  func(t *testing.T, f *fake, n int) fault
		code  int
		want  string
		table string
	}{
		{"write took effect", func(_ *testing.T, _ *fake, n int) fault { return fault{lose: n == 1} }, operator.ExitOK, "version 2 is in force", changed},
		{"nonsense after the effect", func(_ *testing.T, _ *fake, n int) fault {
			return fault{replace: map[bool]string{true: "<html>"}[n == 1]}
		}, operator.ExitOK, "version 2 is in force", changed},
		{"superseded", func(t *testing.T, f *fake, n int) fault {
			if n == 2 {
				f.hook = nil
				assert.Equal(t, f.apply(t, other).code, operator.ExitOK)
			}
			return fault{lose: n == 1}
		}, operator.ExitOK, "version 2 is in force", other},
		{"another write took effect", func(t *testing.T, f *fake, n int) fault {
			if n == 2 {
				f.hook = nil
				assert.Equal(t, f.apply(t, other).code, operator.ExitOK)
				return fault{}
			}
			return fault{status: http.StatusServiceUnavailable}
		}, operator.ExitConflict, "no row was changed by both sides", other},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFake(t)
			assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
			f.on(http.MethodPut, "manifest", func(n int) fault { return c.hook(t, f, n) })
			r := f.apply(t, changed)
			assert.Equal(t, r.code, c.code, r.err)
			assert.Assert(t, strings.Contains(r.err, c.want), r.err)
			f.hook = nil
			_, csv := f.shown(t)
			assert.Equal(t, csv, c.table)
		})
	}
}

// Guards against a definite answer about a commit whose outcome is unknown.
func TestApplyUnknownOutcome(t *testing.T) {
	f := newFake(t)
	assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
	committed := false
	f.hook = func(method, path string) fault {
		if committed {
			return fault{status: http.StatusServiceUnavailable}
		}
		committed = method == http.MethodPut && strings.Contains(path, "manifest")
		return fault{lose: committed}
	}
	r := f.apply(t, example(t, marketRow, marketRow3), "--timeout", "1s")
	assert.Equal(t, r.code, operator.ExitNotReachable)
	assert.Assert(t, strings.Contains(r.err, "may or may not be in force"), r.err)
}

// Guards against giving up on short refusals and against waiting past --timeout.
func TestRefusals(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		f := newFake(t)
		n := 0
		f.hook = func(string, string) fault {
			n++
			return fault{status: map[bool]int{true: status}[n%2 == 1]}
		}
		assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
		f.hook = func(string, string) fault { return fault{status: status} }
		assert.Equal(t, f.apply(t, example(t), "--timeout", "200ms").code, operator.ExitNotReachable)
	}
	r := runWith(t, "", "table", "show", "--platform", "http://127.0.0.1:1", "--timeout", "200ms")
	assert.Equal(t, r.code, operator.ExitNotReachable)
}

// Guards against trusting replies that break the protocol.
func TestNonsenseReplies(t *testing.T) {
	for _, nonsense := range []string{
		"<html>", "[]", `{"kind":"manifest","name":"other","version":3}`, `{"kind":"manifest","name":"table"}`,
		`{"objects":{}}`, `{"kind":"manifest","name":"table","version":1,"value":"e30="}`, `{"kind":"manifest","name":"table","version":1,"value":"?"}`,
	} {
		t.Run(nonsense, func(t *testing.T) {
			t.Parallel()
			f := newFake(t)
			f.hook = func(string, string) fault { return fault{replace: nonsense} }
			assert.Equal(t, f.apply(t, example(t)).code, operator.ExitError)
			r := runWith(t, "", "table", "show", "--platform", f.url)
			assert.Equal(t, r.code, operator.ExitError, r.err)
		})
	}
}

// Guards against a damaged stored table that blocks operators or is replaced
// without their consent.
func TestReplaceBroken(t *testing.T) {
	for _, part := range []string{"manifest/", "segment/"} {
		f := newFake(t)
		assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
		for path, o := range f.objects {
			if strings.HasPrefix(path, part) {
				o.Value = []byte("damaged")
				f.objects[path] = o
			}
		}
		r := f.apply(t, example(t))
		assert.Equal(t, r.code, operator.ExitError, r.err)
		assert.Equal(t, f.apply(t, example(t), "--replace-broken").code, operator.ExitOK)
		version, _ := f.shown(t)
		assert.Equal(t, version, uint64(2))
	}
}

// Guards against versions that hosts would ignore because they fell back.
func TestApplyAfterDeletion(t *testing.T) {
	f := newFake(t)
	assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
	assert.Equal(t, f.apply(t, example(t, marketRow, marketRow3)).code, operator.ExitOK)
	delete(f.objects, "manifest/table")
	assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
	version, _ := f.shown(t)
	assert.Assert(t, version > 2, "version %d", version)
}

// Guards against segments that pile up and against removing a segment that
// another operator has just put to use again.
func TestRemoveSegments(t *testing.T) {
	f := newFake(t)
	for i := 1; i <= 6; i++ {
		row := fmt.Sprintf("account,fishguard-market,,%d,", 10+i)
		assert.Equal(t, f.apply(t, example(t, marketRow, row)).code, operator.ExitOK)
	}
	reused := example(t, marketRow, "account,fishguard-market,,11,")
	committed := false
	f.hook = func(method, path string) fault {
		if committed {
			f.hook = nil
			assert.Equal(t, f.apply(t, reused).code, operator.ExitOK)
		}
		committed = method == http.MethodPut && strings.Contains(path, "manifest")
		return fault{}
	}
	assert.Equal(t, f.apply(t, example(t, marketRow, "account,fishguard-market,,17,")).code, operator.ExitOK)
	assert.Assert(t, f.hook == nil, "no segment was removed")
	_, csv := f.shown(t)
	assert.Equal(t, csv, reused)
	m, err := table.ParseManifest(f.objects["manifest/table"].Value)
	assert.NilError(t, err)
	uses := m.Uses()
	for path := range f.objects {
		name, ok := strings.CutPrefix(path, "segment/")
		assert.Assert(t, !ok || uses[name], "%s is left", path)
	}
}

// Guards against lost changes and broken tables when many operators work at once.
func TestManyOperators(t *testing.T) {
	const operators = 6
	f := newFake(t)
	assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			code := operator.ExitConflict
			for code == operator.ExitConflict {
				version, csv := f.shown(t)
				csv += fmt.Sprintf("account,extra-%d,,1,5,2000%s\n", i, strings.Repeat(",", 23))
				code = f.apply(t, csv, "--base-version", fmt.Sprint(version)).code
			}
			assert.Check(t, code == operator.ExitOK)
		})
	}
	wg.Wait()
	version, csv := f.shown(t)
	assert.Equal(t, version, uint64(1+operators))
	assert.Equal(t, strings.Count(csv, "account,extra-"), operators)
}
