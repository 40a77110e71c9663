package operator_test

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/ctl/internal/operator"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/table"
)

// fault describes the fault injected into one call of the fake platform. The zero
// value injects none.
type fault struct {
	status       int    // if not 0, refuse the call with this status
	dropReply    bool   // close the connection after the call took effect
	replaceReply string // if not empty, send this reply after the call took effect
}

// fakePlatform is an in-memory platform. Object versions keep increasing across
// deletions.
type fakePlatform struct {
	mu       sync.Mutex
	objects  map[string]object.Object
	versions map[string]uint64
	hook     func(method, path string) fault // called without holding mu; may be nil
	url      string
}

func newFakePlatform(t *testing.T) *fakePlatform {
	f := &fakePlatform{objects: map[string]object.Object{}, versions: map[string]uint64{}}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	f.url = s.URL
	return f
}

// onCall sets a hook for calls with the method whose path contains pathPart. The
// argument of the hook counts these calls from 1.
func (f *fakePlatform) onCall(method, pathPart string, hook func(n int) fault) {
	var n int
	f.hook = func(m, path string) fault {
		if m != method || !strings.Contains(path, pathPart) {
			return fault{}
		}
		n++
		return hook(n)
	}
}

func (f *fakePlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var injected fault
	if f.hook != nil {
		injected = f.hook(r.Method, r.URL.Path)
	}
	if injected.status != 0 {
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(injected.status)
		return
	}
	status, reply := f.handle(r)
	if injected.dropReply {
		panic(http.ErrAbortHandler)
	}
	if injected.replaceReply != "" {
		status, reply = http.StatusOK, []byte(injected.replaceReply)
	}
	w.WriteHeader(status)
	w.Write(reply)
}

func (f *fakePlatform) handle(r *http.Request) (int, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	path := strings.TrimPrefix(r.URL.Path, "/objects/")
	kind, name, hasName := strings.Cut(path, "/")
	if !hasName {
		return http.StatusOK, f.list(kind)
	}
	current, ok := f.objects[path]
	current.Kind, current.Name = kind, name
	if r.Method == http.MethodGet {
		if !ok {
			return http.StatusNotFound, nil
		}
		return http.StatusOK, encode(current)
	}
	if r.URL.Query().Get("if-version") != strconv.FormatUint(current.Version, 10) {
		return http.StatusConflict, encode(current)
	}
	f.versions[path]++
	delete(f.objects, path)
	if r.Method == http.MethodDelete {
		return http.StatusNoContent, nil
	}
	value, _ := io.ReadAll(r.Body)
	current.Version, current.Value = f.versions[path], value
	f.objects[path] = current
	current.Value = nil
	return http.StatusOK, encode(current)
}

func (f *fakePlatform) list(kind string) []byte {
	var out object.List
	for _, o := range f.objects {
		if o.Kind == kind {
			out.Objects = append(out.Objects, o)
		}
	}
	return encode(out)
}

func encode(v any) []byte {
	out, _ := json.Marshal(v)
	return out
}

// result holds the exit code and the output of one run of the program.
type result struct {
	code     int
	out, err string
}

func runWith(t testing.TB, stdin string, args ...string) result {
	var out, errOut bytes.Buffer
	s := operator.Streams{In: strings.NewReader(stdin), Out: &out, Err: &errOut, Random: bytes.NewReader(make([]byte, 36))}
	code := operator.Run(t.Context(), append([]string{"ragwortctl"}, args...), s)
	return result{code, out.String(), errOut.String()}
}

// apply runs "table apply" with the CSV as standard input.
func (f *fakePlatform) apply(t testing.TB, csv string, extraArgs ...string) result {
	args := append([]string{"table", "apply", "-", "--platform", f.url}, extraArgs...)
	return runWith(t, csv, args...)
}

// tableInForce returns the version and the CSV of the table in force, and fails the
// test if that table is incomplete or invalid.
func (f *fakePlatform) tableInForce(t testing.TB) (uint64, string) {
	r := runWith(t, "", "table", "show", "--platform", f.url+"/")
	assert.Equal(t, r.code, operator.ExitOK, r.err)
	version, err := strconv.ParseUint(strings.TrimSpace(strings.TrimPrefix(r.err, "version ")), 10, 64)
	assert.NilError(t, err)
	return version, r.out
}

// example returns the example table in canonical form, after replacing each old
// text by the new text that follows it in the arguments.
func example(t testing.TB, replacements ...string) string {
	data, err := os.ReadFile("../../../examples/wales.csv")
	assert.NilError(t, err)
	s, err := table.Parse(strings.NewReader(strings.NewReplacer(replacements...).Replace(string(data))), "example")
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, table.Format(&b, s))
	return b.String()
}
