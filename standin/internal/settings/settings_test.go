package settings_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/standin/internal/settings"
)

// TestErrors guards against mistakes in settings that are ignored or reported
// without their line number.
func TestErrors(t *testing.T) {
	for _, test := range []struct{ text, want string }{
		{"[engine e]\naddress = 127.0.0.1:1\nslot = 3\n", `f:3: unknown key "slot" in section [engine e]`},
		{"[engine e]\naddress = 127.0.0.1:1\nslots = 0\n", "f:3: slots = 0: want a whole number between 1 and 2147483647"},
		{"[engine e]\naddress = 10.0.0.1:1\n", "f:2: address = 10.0.0.1:1: want a loopback address"},
		{"[engine e]\nrole = both\naddress = 127.0.0.1:1\n", "f:2: role = both: want one of prefill, decode"},
		{"\n[engin e]\n", `f:2: unknown section kind "engin"`},
		{"[control]\naddress = 127.0.0.1:1\n[control]\n", "f:3: duplicate section [control]"},
		{"[control]\naddress = 127.0.0.1:1\naddress = 127.0.0.1:2\n", `f:3: duplicate key "address"`},
		{"a = 1\n", `f:1: key "a" is not in a section`},
		{"[host h]\naddress = 127.0.0.1:1\n[service h]\naddress = 127.0.0.1:2\n", `f:3: name "h" is already in use`},
		{"[engine]\naddress = 127.0.0.1:1\n", "f:1: section [engine]: name is missing or not allowed"},
	} {
		_, err := settings.Parse("f", []byte(test.text))
		assert.Error(t, err, test.want)
	}
}

// TestExample guards against an example file that does not load, against engines
// that don't inherit the defaults, and against a selection of stand-ins that
// contains others or accepts an unknown name.
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
	assert.Error(t, err, `settings define no stand-in "nobody"`)
}
