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

// Starts of the table rows that the tests change.
const (
	marketRow  = "account,fishguard-market,,2,"
	marketRow3 = "account,fishguard-market,,3,"
	marketRow9 = "account,fishguard-market,,9,"
	publicRow  = "account,label-public,,1,"
	publicRow5 = "account,label-public,,5,"
)

// Guards against wrong results of the table commands when no faults occur.
func TestTableCommands(t *testing.T) {
	f := newFakePlatform(t)
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
	version, csv := f.tableInForce(t)
	assert.Equal(t, version, uint64(2))
	assert.Equal(t, csv, second)
	assert.Assert(t, strings.Contains(f.apply(t, second).err, "version 2 is in force"))
	assert.Equal(t, f.versions["manifest/table"], uint64(2))
}

// Guards against overwriting the change of another operator that was committed
// between the read and the write of the manifest.
func TestApplyRace(t *testing.T) {
	for _, c := range []struct{ name, other, want string }{
		{"same row", example(t, marketRow, marketRow9, publicRow, publicRow5), `account "fishguard-market"`},
		{"other row", example(t, publicRow, publicRow5), "no row was changed by both sides"},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakePlatform(t)
			assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
			f.onCall(http.MethodPut, "manifest", func(n int) fault {
				if n == 1 {
					assert.Equal(t, f.apply(t, c.other).code, operator.ExitOK)
				}
				return fault{}
			})
			r := f.apply(t, example(t, marketRow, marketRow3))
			assert.Equal(t, r.code, operator.ExitConflict, r.err)
			assert.Assert(t, strings.Contains(r.err, c.want), r.err)
			assert.Assert(t, !strings.Contains(r.err, "label-public"), r.err)
			version, csv := f.tableInForce(t)
			assert.Equal(t, version, uint64(2))
			assert.Equal(t, csv, c.other)
		})
	}
}

// Guards against applying a file that is based on an older table version. Version
// 5 is still in the history, so its rows can be compared; version 1 is not.
func TestApplyBaseVersion(t *testing.T) {
	f := newFakePlatform(t)
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

// Guards against reporting the wrong outcome of a change when the reply to the
// write of the manifest was lost or invalid.
func TestApplyLostReply(t *testing.T) {
	changed, other := example(t, marketRow, marketRow3), example(t, publicRow, publicRow5)
	for _, c := range []struct {
		name  string
		hook  func(t *testing.T, f *fakePlatform, n int) fault
		code  int
		want  string
		table string
	}{
		{"write took effect", func(_ *testing.T, _ *fakePlatform, n int) fault { return fault{dropReply: n == 1} }, operator.ExitOK, "version 2 is in force", changed},
		{"invalid reply after the effect", func(_ *testing.T, _ *fakePlatform, n int) fault {
			return fault{replaceReply: map[bool]string{true: "<html>"}[n == 1]}
		}, operator.ExitOK, "version 2 is in force", changed},
		{"superseded", func(t *testing.T, f *fakePlatform, n int) fault {
			if n == 2 {
				f.hook = nil
				assert.Equal(t, f.apply(t, other).code, operator.ExitOK)
			}
			return fault{dropReply: n == 1}
		}, operator.ExitOK, "version 2 is in force", other},
		{"another write took effect", func(t *testing.T, f *fakePlatform, n int) fault {
			if n == 2 {
				f.hook = nil
				assert.Equal(t, f.apply(t, other).code, operator.ExitOK)
				return fault{}
			}
			return fault{status: http.StatusServiceUnavailable}
		}, operator.ExitConflict, "no row was changed by both sides", other},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFakePlatform(t)
			assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
			f.onCall(http.MethodPut, "manifest", func(n int) fault { return c.hook(t, f, n) })
			r := f.apply(t, changed)
			assert.Equal(t, r.code, c.code, r.err)
			assert.Assert(t, strings.Contains(r.err, c.want), r.err)
			f.hook = nil
			_, csv := f.tableInForce(t)
			assert.Equal(t, csv, c.table)
		})
	}
}

// Guards against reporting success or failure when the outcome of the commit is
// unknown because the platform fails right after the write.
func TestApplyUnknownOutcome(t *testing.T) {
	f := newFakePlatform(t)
	assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
	committed := false
	f.hook = func(method, path string) fault {
		if committed {
			return fault{status: http.StatusServiceUnavailable}
		}
		committed = method == http.MethodPut && strings.Contains(path, "manifest")
		return fault{dropReply: committed}
	}
	r := f.apply(t, example(t, marketRow, marketRow3), "--timeout", "1s")
	assert.Equal(t, r.code, operator.ExitNotReachable)
	assert.Assert(t, strings.Contains(r.err, "may or may not be in force"), r.err)
}

// Guards against giving up on temporary refusals and against waiting beyond
// --timeout.
func TestRefusals(t *testing.T) {
	for _, status := range []int{http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		f := newFakePlatform(t)
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

// Guards against accepting replies that violate the protocol.
func TestInvalidReplies(t *testing.T) {
	for _, invalidReply := range []string{
		"<html>", "[]", `{"kind":"manifest","name":"other","version":3}`, `{"kind":"manifest","name":"table"}`,
		`{"objects":{}}`, `{"kind":"manifest","name":"table","version":1,"value":"e30="}`, `{"kind":"manifest","name":"table","version":1,"value":"?"}`,
	} {
		t.Run(invalidReply, func(t *testing.T) {
			t.Parallel()
			f := newFakePlatform(t)
			f.hook = func(string, string) fault { return fault{replaceReply: invalidReply} }
			assert.Equal(t, f.apply(t, example(t)).code, operator.ExitError)
			r := runWith(t, "", "table", "show", "--platform", f.url)
			assert.Equal(t, r.code, operator.ExitError, r.err)
		})
	}
}

// Guards against a corrupt stored table that operators cannot replace, or that is
// replaced without --replace-broken.
func TestReplaceBroken(t *testing.T) {
	for _, pathPrefix := range []string{"manifest/", "segment/"} {
		f := newFakePlatform(t)
		assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
		for path, o := range f.objects {
			if strings.HasPrefix(path, pathPrefix) {
				o.Value = []byte("damaged")
				f.objects[path] = o
			}
		}
		r := f.apply(t, example(t))
		assert.Equal(t, r.code, operator.ExitError, r.err)
		assert.Equal(t, f.apply(t, example(t), "--replace-broken").code, operator.ExitOK)
		version, _ := f.tableInForce(t)
		assert.Equal(t, version, uint64(2))
	}
}

// Guards against a table version that starts again from 1 after the manifest was
// deleted: hosts ignore versions that are not higher than theirs.
func TestApplyAfterDeletion(t *testing.T) {
	f := newFakePlatform(t)
	assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
	assert.Equal(t, f.apply(t, example(t, marketRow, marketRow3)).code, operator.ExitOK)
	delete(f.objects, "manifest/table")
	assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
	version, _ := f.tableInForce(t)
	assert.Assert(t, version > 2, "version %d", version)
}

// Guards against unused segments that accumulate, and against removing a segment
// that another operator has just started to use again.
func TestRemoveSegments(t *testing.T) {
	f := newFakePlatform(t)
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
	_, csv := f.tableInForce(t)
	assert.Equal(t, csv, reused)
	m, err := table.ParseManifest(f.objects["manifest/table"].Value)
	assert.NilError(t, err)
	uses := m.ReferencedSegments()
	for path := range f.objects {
		name, ok := strings.CutPrefix(path, "segment/")
		assert.Assert(t, !ok || uses[name], "%s is left", path)
	}
}

// Guards against lost changes and corrupt tables when many operators apply changes
// at the same time.
func TestManyOperators(t *testing.T) {
	const operators = 6
	f := newFakePlatform(t)
	assert.Equal(t, f.apply(t, example(t)).code, operator.ExitOK)
	var wg sync.WaitGroup
	for i := range operators {
		wg.Go(func() {
			code := operator.ExitConflict
			for code == operator.ExitConflict {
				version, csv := f.tableInForce(t)
				csv += fmt.Sprintf("account,extra-%d,,1,5,2000%s\n", i, strings.Repeat(",", 23))
				code = f.apply(t, csv, "--base-version", fmt.Sprint(version)).code
			}
			assert.Check(t, code == operator.ExitOK)
		})
	}
	wg.Wait()
	version, csv := f.tableInForce(t)
	assert.Equal(t, version, uint64(1+operators))
	assert.Equal(t, strings.Count(csv, "account,extra-"), operators)
}
