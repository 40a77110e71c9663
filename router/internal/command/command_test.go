package command_test

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/router/internal/command"
)

// validSettings is a format string with one verb, for the peer address.
const validSettings = `[host]
name = h-1
zone = a
zones = a
[caller]
address = 127.0.0.1:9001
[peer]
address = %s
[operator]
address = 127.0.0.1:9003
[platform]
url = http://127.0.0.1:9
`

// run runs the program with args, without the name of the program.
func run(t *testing.T, args ...string) (code int, stdout, stderr string) {
	t.Helper()
	var out, errs bytes.Buffer
	code = command.Main(t.Context(), append([]string{"ragwortshunt"}, args...), &out, &errs)
	return code, out.String(), errs.String()
}

// writeSettings writes a settings file and returns its path.
func writeSettings(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "s.ini")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// TestSettingsCheck guards against invalid settings that are accepted or reported without
// their position, and against a router that starts with them.
func TestSettingsCheck(t *testing.T) {
	config := fmt.Sprintf(validSettings, "127.0.0.1:9002")
	code, stdout, _ := run(t, "settings", "check", "--settings", writeSettings(t, config))
	assert.Equal(t, code, command.ExitOK)
	assert.Equal(t, stdout, "settings of host h-1 are valid\n")
	path := writeSettings(t, config+"[claim]\nshards = 0\n")
	code, stdout, stderr := run(t, "settings", "check", "--settings", path)
	assert.Equal(t, code, command.ExitSettings)
	assert.Equal(t, stdout, "")
	assert.Equal(t, stderr, "settings:\n"+path+":14: claim.shards: \"0\" is not a whole number from 1 to 4096\n")
	t.Setenv("RAGWORTSHUNT_SETTINGS", path)
	code, _, _ = run(t, "run")
	assert.Equal(t, code, command.ExitSettings)
}

// TestDescribe guards against output of "settings describe" that is not a valid settings
// file once the required values are filled in.
func TestDescribe(t *testing.T) {
	code, stdout, _ := run(t, "settings", "describe")
	assert.Equal(t, code, command.ExitOK)
	for _, requiredLine := range []string{"name = h", "zone = a", "zones = a", "url = http://127.0.0.1:9"} {
		stdout = strings.Replace(stdout, strings.SplitAfter(requiredLine, "= ")[0]+"\n", requiredLine+"\n", 1)
	}
	for i := range 3 {
		stdout = strings.Replace(stdout, "address = \n", fmt.Sprintf("address = 127.0.0.1:900%d\n", i+1), 1)
	}
	code, _, stderr := run(t, "settings", "check", "--settings", writeSettings(t, stdout))
	assert.Equal(t, code, command.ExitOK, stderr)
}

// TestArguments guards against wrong arguments that are accepted, against exit codes that
// do not distinguish usage errors from other errors, and against errors on stdout.
func TestArguments(t *testing.T) {
	cases := map[string]int{
		"--version": 0, "--help": 0, "run --help": 0, "settings --help": 0, "settings check --help": 0,
		"settings describe --help": 0, "completion bash": 0, "completion zsh": 0, "completion fish": 0,
		"": 2, "serve": 2, "run": 2, "run --colour": 2, "run more": 2, "settings": 2, "settings check": 2,
		"settings describe more": 2, "completion csh": 2,
		"settings check --settings /does/not/exist": 5,
	}
	for line, want := range cases {
		t.Run(line, func(t *testing.T) {
			code, stdout, stderr := run(t, strings.Fields(line)...)
			assert.Equal(t, code, want, stderr)
			assert.Equal(t, stdout != "", want == 0)
			assert.Equal(t, stderr != "", want != 0)
		})
	}
}

// TestListenFailure guards against a router that keeps running although it cannot listen
// on one of its addresses.
func TestListenFailure(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	code, _, stderr := run(t, "run", "--settings", writeSettings(t, fmt.Sprintf(validSettings, l.Addr())))
	assert.Equal(t, code, command.ExitError)
	assert.Assert(t, strings.Contains(stderr, "address already in use"), stderr)
}
