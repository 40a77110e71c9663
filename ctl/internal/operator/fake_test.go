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

// fault is what happens to one call of the fake platform.
type fault struct {
	status  int    // refuse with this status
	lose    bool   // drop the reply after the effect
	replace string // send this reply after the effect
}

// fake is a platform in memory. Versions grow also over deletion.
type fake struct {
	mu       sync.Mutex
	objects  map[string]object.Object
	versions map[string]uint64
	hook     func(method, path string) fault // called without the lock; can be nil
	url      string
}

func newFake(t *testing.T) *fake {
	f := &fake{objects: map[string]object.Object{}, versions: map[string]uint64{}}
	s := httptest.NewServer(f)
	t.Cleanup(s.Close)
	f.url = s.URL
	return f
}

// on sets a hook for calls with a method and a part of their path. Its argument
// counts these calls from 1.
func (f *fake) on(method, part string, hook func(n int) fault) {
	var n int
	f.hook = func(m, path string) fault {
		if m != method || !strings.Contains(path, part) {
			return fault{}
		}
		n++
		return hook(n)
	}
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var x fault
	if f.hook != nil {
		x = f.hook(r.Method, r.URL.Path)
	}
	if x.status != 0 {
		w.Header().Set("Retry-After", "0")
		w.WriteHeader(x.status)
		return
	}
	status, reply := f.handle(r)
	if x.lose {
		panic(http.ErrAbortHandler)
	}
	if x.replace != "" {
		status, reply = http.StatusOK, []byte(x.replace)
	}
	w.WriteHeader(status)
	w.Write(reply)
}

func (f *fake) handle(r *http.Request) (int, []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	path := strings.TrimPrefix(r.URL.Path, "/objects/")
	kind, name, one := strings.Cut(path, "/")
	if !one {
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

func (f *fake) list(kind string) []byte {
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

// result is what one run of the program gave.
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

// apply puts a table in force.
func (f *fake) apply(t testing.TB, csv string, more ...string) result {
	args := append([]string{"table", "apply", "-", "--platform", f.url}, more...)
	return runWith(t, csv, args...)
}

// shown returns the table in force, which has to be complete and valid.
func (f *fake) shown(t testing.TB) (uint64, string) {
	r := runWith(t, "", "table", "show", "--platform", f.url+"/")
	assert.Equal(t, r.code, operator.ExitOK, r.err)
	version, err := strconv.ParseUint(strings.TrimSpace(strings.TrimPrefix(r.err, "version ")), 10, 64)
	assert.NilError(t, err)
	return version, r.out
}

// example returns the canonical form of an example table in which each old text
// is replaced by the new text that follows it.
func example(t testing.TB, replace ...string) string {
	data, err := os.ReadFile("../../../examples/wales.csv")
	assert.NilError(t, err)
	s, err := table.Parse(strings.NewReader(strings.NewReplacer(replace...).Replace(string(data))), "example")
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, table.Format(&b, s))
	return b.String()
}
