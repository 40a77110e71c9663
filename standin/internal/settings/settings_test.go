package settings_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/standin/internal/settings"
)

// Guards against settings errors that are ignored or name no line.
func TestErrors(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"[engine e]\naddress = 127.0.0.1:1\nslot = 3\n", `f:3: unknown key "slot" in section [engine e]`},
		{"[engine e]\naddress = 127.0.0.1:1\nslots = 0\n", "f:3: slots = 0: want a whole number between 1 and 2147483647"},
		{"[engine e]\naddress = 10.0.0.1:1\n", "f:2: address = 10.0.0.1:1: want a loopback address"},
		{"[engine e]\nrole = both\naddress = 127.0.0.1:1\n", "f:2: role = both: want one of prefill, decode"},
		{"\n[engin e]\n", `f:2: unknown section kind "engin"`},
		{"[control]\naddress = 127.0.0.1:1\n[control]\n", "f:3: section [control] is repeated"},
		{"[control]\naddress = 127.0.0.1:1\naddress = 127.0.0.1:2\n", `f:3: key "address" is repeated`},
		{"a = 1\n", `f:1: key "a" stands outside any section`},
		{"[host h]\naddress = 127.0.0.1:1\n[service h]\naddress = 127.0.0.1:2\n", `f:3: name "h" is already in use`},
		{"[engine]\naddress = 127.0.0.1:1\n", "f:1: section [engine]: name is missing or not wanted"},
	} {
		_, err := settings.Parse("f", []byte(test.text))
		assert.Error(t, err, test.want)
	}
}

// Guards against defaults that engines do not take over, and against an example
// that does not load.
func TestExample(t *testing.T) {
	cfg, err := settings.Load("../../examples/tallinn.ini")
	assert.NilError(t, err)
	assert.Equal(t, len(cfg.Engines), 12)
	assert.Equal(t, len(cfg.Services), 3)
	assert.Equal(t, len(cfg.Platform.Hosts), 9)
	assert.Equal(t, cfg.Engines[11].Role, table.RoleDecode)
	assert.Equal(t, cfg.Engines[11].Address, "127.0.0.1:19211")
	assert.Equal(t, cfg.Engines[11].TokenTime, 20*time.Millisecond)
	only, err := cfg.Only([]string{"platform", "tallinn-b-decode-1"})
	assert.NilError(t, err)
	assert.Equal(t, len(only.Engines), 1)
	assert.Equal(t, only.Control, "")
	_, err = cfg.Only([]string{"nobody"})
	assert.Error(t, err, `settings name no stand-in "nobody"`)
}
