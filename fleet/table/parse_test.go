package table_test

import (
	"bytes"
	"errors"
	"os"
	"regexp"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// goldenCase is a test case of a golden file.
type goldenCase struct{ name, input, want string }

// goldenCases reads a golden file. Each case consists of a line "== name", the input, a
// line "-- errors" and the expected errors.
func goldenCases(t *testing.T, file string) []goldenCase {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	var out []goldenCase
	for _, part := range strings.Split(string(data), "\n== ")[1:] {
		name, body, _ := strings.Cut(part, "\n")
		input, want, ok := strings.Cut(body, "-- errors\n")
		assert.Assert(t, ok, "case %q has no errors", name)
		out = append(out, goldenCase{name, input, strings.TrimSpace(want)})
	}
	return out
}

// Guards against errors that are not reported or have the wrong position or text.
func TestParseErrors(t *testing.T) {
	for _, c := range goldenCases(t, "testdata/errors.txt") {
		t.Run(c.name, func(t *testing.T) {
			_, err := table.Parse(strings.NewReader(c.input), "table.csv")
			var errs table.Errors
			assert.Assert(t, errors.As(err, &errs))
			assert.Equal(t, errs.Error(), c.want)
		})
	}
}

func readExample(t testing.TB, name string) (*table.Snapshot, []byte) {
	t.Helper()
	data, err := os.ReadFile("../../examples/" + name)
	assert.NilError(t, err)
	s, err := table.Parse(bytes.NewReader(data), name)
	assert.NilError(t, err)
	return s, data
}

// Guards against examples that are invalid or not in canonical form, or whose keys do
// not match the documented secrets.
func TestExamples(t *testing.T) {
	readme, err := os.ReadFile("../../examples/README.md")
	assert.NilError(t, err)
	secrets := regexp.MustCompile(`rws-[a-z0-9-]+`).FindAllString(string(readme), -1)
	known := 0
	for _, name := range []string{"tallinn.csv", "wales.csv"} {
		s, data := readExample(t, name)
		var b bytes.Buffer
		assert.NilError(t, table.Format(&b, s))
		assert.Equal(t, b.String(), string(data))
		assert.Equal(t, len(table.Warnings(s)), 0)
		assert.Equal(t, len(table.Zones(s)), 3)
		for _, secret := range secrets {
			if _, err := table.Authenticate(s, secret); err == nil {
				known++
			}
		}
	}
	assert.Equal(t, known, 10)
}

// Guards against rejecting tables as spreadsheet programs save them.
func TestParseSpreadsheetForms(t *testing.T) {
	want, data := readExample(t, "tallinn.csv")
	lines := strings.Split(strings.TrimSpace(string(data)), "\n")
	var quoted, trailing, reversed []string
	for _, line := range lines {
		cells := strings.Split(line, ",")
		quoted = append(quoted, `"`+strings.Join(cells, `","`)+`"`)
		trailing = append(trailing, line+",,,")
		slices.Reverse(cells)
		reversed = append(reversed, strings.Join(cells, ","))
	}
	forms := map[string]string{
		"byte order mark":  "\uFEFF" + string(data),
		"mark and quotes":  "\uFEFF" + strings.Join(quoted, "\n"),
		"CRLF":             strings.Join(lines, "\r\n"),
		"trailing columns": strings.Join(trailing, "\n"),
		"column order":     strings.Join(reversed, "\n"),
		"blank rows":       strings.Join(lines, "\n\n,,,\n"),
		"upper-case flags": strings.ReplaceAll(string(data), ",yes,", ",TRUE,"),
	}
	for name, form := range forms {
		t.Run(name, func(t *testing.T) {
			s, err := table.Parse(strings.NewReader(form), "table.csv")
			assert.NilError(t, err)
			assert.Assert(t, table.Equal(s, want))
		})
	}
}

// Guards against defaults that differ from the documented ones.
func TestParseDefaults(t *testing.T) {
	const input = `kind,name,rate-tokens-per-s,burst-tokens,role,model,pool,slots,blocks,prefill-tokens-per-s,link-tokens-per-s,zone,address
account,a,5,6,,,,,,,,,
pool,p,,,prefill,m,,1,2,3,4,,
pool,d,,,decode,m,,1,2,,4,,
pool,s,,,service,,,1,,,,,
endpoint,e,,,,,p,,,,,z,[::1]:80
route,r,,,,m,,,,,,,
route,t,,,,,s,,,,,,
`
	s, err := table.Parse(strings.NewReader(input), "table.csv")
	assert.NilError(t, err)
	var b bytes.Buffer
	assert.NilError(t, table.Format(&b, s))
	want := []string{
		"account,a,,1,5,6,,,,,,,,,,,,,,,,,,,,,,,",
		"pool,d,,,,,decode,m,,,,,,1,2,4000,,4,1000,,,,,,,,,,",
		"pool,p,,,,,prefill,m,,,,,,1,2,4000,3,4,1000,,,,,,,,,,",
		"pool,s,,,,,service,,,,,,,1,,,,,1000,,,,,,,,,,",
		"endpoint,e,,,,,,,p,z,[::1]:80,ignored,active,,,,,,,,,,,,,,,,",
		"route,r,,,,,,m,,,,,,,,,,,,interactive,570,51,no,,no,900,1024,,",
		"route,t,,,,,,,s,,,,,,,,,,,interactive,,,no,no,,900,,,",
	}
	assert.DeepEqual(t, strings.Split(strings.TrimSpace(b.String()), "\n")[1:], want)
	assert.Assert(t, s.Routes["r"].Idempotent)
}

// failingReader returns errRead once all remaining bytes have been read.
type failingReader struct{ remaining string }

func (r *failingReader) Read(b []byte) (int, error) {
	if r.remaining == "" {
		return 0, errRead
	}
	n := copy(b, r.remaining)
	r.remaining = r.remaining[n:]
	return n, nil
}

var errRead = errors.New("read failed")

// Guards against treating the rows before a read error as the complete table.
func TestParseReadError(t *testing.T) {
	r := &failingReader{remaining: "kind,name,rate-tokens-per-s,burst-tokens\naccount,a,1,1\n"}
	s, err := table.Parse(r, "table.csv")
	assert.ErrorIs(t, err, errRead)
	assert.Assert(t, s == nil)
}

// Guards against warnings that are missing or raised without a reason.
func TestWarnings(t *testing.T) {
	s, _ := readExample(t, "tallinn.csv")
	a := s.Accounts["city-support"]
	a.Burst = 399
	s.Accounts[a.Name] = a
	for _, name := range []id.Endpoint{"engine-a-1", "engine-a-2", "rack-a", "rack-b", "rack-c"} {
		e := s.Endpoints[name]
		e.State = table.StateLeaving
		s.Endpoints[name] = e
	}
	var got []string
	for _, w := range table.Warnings(s) {
		got = append(got, w.String())
	}
	assert.DeepEqual(t, got, []string{
		`account "city-support": burst-tokens: a burst of 399 is below max-tokens of route dispute-answer, tag-summary`,
		`pool "rack": name: the pool has no active endpoint`,
		`route "dispute-answer": model: zone tallinn-a has no active prefill endpoint of model "kalev-8b"`,
		`route "tag-summary": model: zone tallinn-a has no active prefill endpoint of model "kalev-8b"`,
		`route "tap-assist": model: zone tallinn-a has no active prefill endpoint of model "kalev-8b"`,
	})
}

// FuzzParse guards against panics, against accepted tables that do not survive a round
// trip through the canonical form, and against errors without a file or a message.
func FuzzParse(f *testing.F) {
	for _, name := range []string{"tallinn.csv", "wales.csv"} {
		_, data := readExample(f, name)
		f.Add(data)
	}
	data, err := os.ReadFile("testdata/errors.txt")
	assert.NilError(f, err)
	for _, part := range strings.Split(string(data), "\n== ")[1:] {
		_, body, _ := strings.Cut(part, "\n")
		input, _, _ := strings.Cut(body, "-- errors\n")
		f.Add([]byte(input))
	}
	f.Fuzz(func(t *testing.T, input []byte) {
		s, err := table.Parse(bytes.NewReader(input), "table.csv")
		if err != nil {
			var errs table.Errors
			assert.Assert(t, errors.As(err, &errs) && len(errs) > 0)
			assert.Assert(t, errs[0].File == "table.csv" && errs[0].Message != "")
			return
		}
		var b bytes.Buffer
		assert.NilError(t, table.Format(&b, s))
		again, err := table.Parse(&b, "formatted.csv")
		assert.NilError(t, err)
		assert.Assert(t, table.Equal(again, s))
	})
}
