package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/router/internal/settings"
)

// validFile is a settings file with all required values. The cases in testdata edit it.
const validFile = `[host]
name = h-1
zone = a
zones = a, b

[caller]
address = 127.0.0.1:9001 ; behind the balancer

[peer]
address = 127.0.0.1:9002

[operator]
address = 127.0.0.1:9003

# The platform of this region.
[platform]
url = http://127.0.0.1:8080/
`

// TestDefaults guards against keys whose default is not applied, or is rejected when it is
// written out.
func TestDefaults(t *testing.T) {
	s, err := settings.Parse("s.ini", []byte(validFile))
	assert.NilError(t, err)
	assert.Equal(t, s.CallerAddress, "127.0.0.1:9001")
	assert.Equal(t, s.PlatformURL, "http://127.0.0.1:8080")
	assert.DeepEqual(t, s.Zones, []id.Zone{"a", "b"})
	assert.Equal(t, s.DrainTimeout, 10*time.Minute)
	for _, f := range settings.Fields() {
		if f.Default == "" {
			continue
		}
		_, err := settings.Parse("s.ini", []byte(validFile+"\n["+f.Section+"]\n"+f.Name+" = "+f.Default+"\n"))
		assert.NilError(t, err, f.Key())
	}
}

// TestDefaultsMatchCore guards against defaults of the settings that differ from those of
// the decision core.
func TestDefaultsMatchCore(t *testing.T) {
	s, err := settings.Parse("s.ini", []byte(validFile))
	assert.NilError(t, err)
	want := core.DefaultConfig(s.Host, 1, s.Zone, s.Zones)
	assert.Equal(t, s.ReserveShare, want.Limit.ReserveShare)
	assert.Equal(t, s.PooledLease, want.Limit.PooledLease)
	assert.Equal(t, s.ReserveLease, want.Limit.ReserveLease)
	assert.Equal(t, s.CellEndpoints, want.CellEndpoints)
	assert.Equal(t, s.Retention, want.Claim.Retention)
}

// applyEdits returns validFile with the edits of a case in testdata/errors.txt. A line that
// starts with "-" removes that line, "+" appends a line and "^" prepends one.
func applyEdits(t *testing.T, edits string) string {
	t.Helper()
	out := validFile
	for _, line := range strings.Split(strings.TrimSpace(edits), "\n") {
		switch line[0] {
		case '-':
			assert.Assert(t, strings.Contains(out, "\n"+line[1:]), line)
			start := strings.Index(out, "\n"+line[1:])
			end := start + 1 + strings.Index(out[start+1:], "\n")
			out = out[:start] + out[end:]
		case '+':
			out += line[1:] + "\n"
		case '^':
			out = line[1:] + "\n" + out
		}
	}
	return out
}

// TestErrors guards against invalid values that are accepted, in part or as a whole, and
// against errors without a position.
func TestErrors(t *testing.T) {
	data, err := os.ReadFile(filepath.Join("testdata", "errors.txt"))
	assert.NilError(t, err)
	for _, c := range strings.Split(string(data), "\n== ")[1:] {
		name, rest, _ := strings.Cut(c, "\n")
		edits, want, ok := strings.Cut(rest, "--\n")
		assert.Assert(t, ok, name)
		t.Run(name, func(t *testing.T) {
			_, err := settings.Parse("s.ini", []byte(applyEdits(t, edits)))
			assert.ErrorIs(t, err, settings.ErrSettings)
			got := strings.TrimPrefix(err.Error(), "settings:\n")
			assert.Equal(t, got, strings.TrimSpace(want))
		})
	}
}

// TestUnreadableFiles guards against files that are missing or not valid INI and do not
// result in an ErrSettings.
func TestUnreadableFiles(t *testing.T) {
	_, err := settings.Load(filepath.Join(t.TempDir(), "none.ini"))
	assert.ErrorIs(t, err, settings.ErrSettings)
	assert.ErrorIs(t, err, os.ErrNotExist)
	for _, text := range []string{validFile + "no value\n", validFile + "[host\n", validFile + "= 5\n"} {
		_, err := settings.Parse("s.ini", []byte(text))
		assert.ErrorIs(t, err, settings.ErrSettings)
	}
}

// FuzzParse guards against files that make the parser panic, and against files without
// the required values that are accepted.
func FuzzParse(f *testing.F) {
	for _, seed := range []string{
		"", validFile, "[host]\nname = \"\"\"a\nb\"\"\"\n", "[a.b]\nc=d", "=\n", "[]\n=", "\xef\xbb\xbf[host]\n",
		"[limit]\nreserve-share = 0x1p-2\n", "`a` = b\\\n",
	} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, text string) {
		s, err := settings.Parse("f.ini", []byte(text))
		if err != nil {
			assert.ErrorIs(t, err, settings.ErrSettings)
			return
		}
		assert.Assert(t, s.Host != "" && s.Zone != "" && len(s.Zones) > 0 && s.PlatformURL != "")
		assert.Assert(t, s.CallerAddress != "" && s.PeerAddress != "" && s.OperatorAddress != "")
		assert.Assert(t, s.ReserveLease >= s.PooledLease)
	})
}

// TestFractions guards against hosts that do not start because the platform states one of
// its bounds with a fraction. An allowance is rounded down, so that it is never exceeded.
func TestFractions(t *testing.T) {
	file := validFile + "\n[retry]\nextra = 35.833333333333336\nwindow = 7.25s\n" +
		"\n[limit]\noverrun-slack = 190000.9\noverrun-window = 8.5s\n"
	s, err := settings.Parse("s.ini", []byte(file))
	assert.NilError(t, err)
	assert.Equal(t, s.RetryExtra, int64(35))
	assert.Equal(t, s.RetryWindow, 7250*time.Millisecond)
	assert.Equal(t, s.OverrunSlack, int64(190000))
	assert.Equal(t, s.OverrunWindow, 8500*time.Millisecond)
	for _, bad := range []string{"-0.5", "NaN", "Inf", "1e30", "x"} {
		_, err := settings.Parse("s.ini", []byte(validFile+"\n[retry]\nextra = "+bad+"\n"))
		assert.ErrorContains(t, err, "retry.extra")
	}
}
