// Package settings reads the settings of the stand-ins from an INI file. All
// addresses must be on the loopback interface.
package settings

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/standin/inifile"
)

// Reserved names of the platform and of the control address. Only accepts them as
// names to select, and NamePlatform is the target of faults of the platform.
const (
	NamePlatform = "platform"
	NameControl  = "control"
)

// Settings describes the stand-ins that a settings file defines.
type Settings struct {
	Platform *Platform // nil for none
	Engines  []Engine
	Services []Service
	Control  string // ip:port; empty for none
}

// Platform describes the simulated platform with its object API and host list.
type Platform struct {
	Address     string
	WriteRate   float64       // calls per second; 0 means no limit
	ReadRate    float64       // calls per second; 0 means no limit
	HostListLag time.Duration // time until a change shows in the host list
	Hosts       []object.Host // a host behind a relay has the relay's address
	Relays      []Relay
}

// Relay describes the relay through which other hosts send to one host.
type Relay struct {
	Host    id.Host
	Zone    id.Zone // of the host
	Address string  // ip:port of the relay
	Target  string  // ip:port of the host
}

// Engine describes one simulated model engine.
type Engine struct {
	Name         id.Endpoint
	Address      string
	Role         table.Role
	Slots        int64         // concurrent attempts
	Blocks       int64         // KV blocks of memory
	BlockTokens  int64         // tokens in a KV block
	PrefillRate  int64         // prompt tokens per second
	TokenTime    time.Duration // time between output tokens
	LinkRate     int64         // KV cache tokens per second and direction; 0 means no limit
	KVSurvival   time.Duration // time until a KV cache that is not imported expires
	ReportLag    time.Duration // time until load and cache events show in reports
	CacheEntries int64         // prompts in the prefix cache
	Fencing      table.Fencing
}

// Service describes one simulated plain service.
type Service struct {
	Name       id.Endpoint
	Address    string
	Delay      time.Duration // before each reply
	Idempotent bool          // returns the stored reply for an idempotency key that it has seen
}

// defaultEngine holds the values of engine keys that neither the engine's section
// nor the section engine-defaults sets.
var defaultEngine = Engine{
	Role:         table.RoleDecode,
	Slots:        20,
	Blocks:       4000,
	BlockTokens:  16,
	PrefillRate:  20000,
	TokenTime:    20 * time.Millisecond,
	LinkRate:     200000,
	KVSurvival:   900 * time.Millisecond,
	ReportLag:    200 * time.Millisecond,
	CacheEntries: 64,
	Fencing:      table.FencingChecked,
}

// Load reads, parses and validates the settings file at path.
func Load(path string) (Settings, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return Settings{}, err
	}
	return read(f)
}

// Parse parses and validates data. Error messages refer to it as path.
func Parse(path string, data []byte) (Settings, error) {
	f, err := inifile.Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	return read(f)
}

// read converts the sections of f. The section engine-defaults applies to the
// engines after it.
func read(f *inifile.File) (Settings, error) {
	var cfg Settings
	defaults := defaultEngine
	var hosts []object.Host
	var relays []Relay
	usedNames := map[string]bool{}
	for _, s := range f.Sections() {
		switch s.Kind {
		case NamePlatform:
			cfg.Platform = readPlatform(s)
		case NameControl:
			cfg.Control = s.Loopback("address")
		case "host":
			h := readHost(s)
			if s.Has("relay") {
				relays = append(relays, Relay{Host: h.Host, Zone: h.Zone, Address: s.Loopback("relay"), Target: h.Address})
				h.Address = s.Loopback("relay")
			}
			hosts = append(hosts, h)
		case "engine-defaults":
			defaults = readEngine(s, defaults)
		case "engine":
			e := readEngine(s, defaults)
			e.Name = id.Endpoint(s.Name)
			e.Address = s.Loopback("address")
			cfg.Engines = append(cfg.Engines, e)
		case "service":
			cfg.Services = append(cfg.Services, readService(s))
		default:
			s.Errorf("", "unknown section kind %q", s.Kind)
			continue
		}
		s.CheckUnknownKeys()
		checkName(s, usedNames)
	}
	if cfg.Platform != nil {
		cfg.Platform.Hosts = hosts
		cfg.Platform.Relays = relays
	}
	return cfg, f.Err()
}

// checkName records an error if the name of a section is missing, not allowed or
// already in use. Names must be unique across all kinds, because faults select
// their targets by name.
func checkName(s *inifile.Section, usedNames map[string]bool) {
	wantsName := s.Kind == "host" || s.Kind == "engine" || s.Kind == "service"
	if wantsName != (s.Name != "") {
		s.Errorf("", "section [%s]: name is missing or not allowed", s.Kind)
		return
	}
	if wantsName && (usedNames[s.Name] || s.Name == NamePlatform || s.Name == NameControl) {
		s.Errorf("", "name %q is already in use", s.Name)
	}
	usedNames[s.Name] = true
}

func readPlatform(s *inifile.Section) *Platform {
	return &Platform{
		Address:     s.Loopback("address"),
		WriteRate:   s.Float("write-rate", 0, 0, 1e6),
		ReadRate:    s.Float("read-rate", 0, 0, 1e6),
		HostListLag: s.Millis("host-list-lag-ms", 0),
	}
}

func readHost(s *inifile.Section) object.Host {
	return object.Host{
		Host:    id.Host(s.Name),
		Zone:    id.Zone(s.String("zone", "")),
		Address: s.Loopback("address"),
		Leaving: s.Bool("leaving", false),
	}
}

func readEngine(s *inifile.Section, def Engine) Engine {
	return Engine{
		Role:         table.Role(s.Choice("role", string(def.Role), string(table.RolePrefill), string(table.RoleDecode))),
		Slots:        s.Int("slots", def.Slots, 1),
		Blocks:       s.Int("blocks", def.Blocks, 1),
		BlockTokens:  s.Int("block-tokens", def.BlockTokens, 1),
		PrefillRate:  s.Int("prefill-rate", def.PrefillRate, 1),
		TokenTime:    s.Millis("token-ms", def.TokenTime),
		LinkRate:     s.Int("link-rate", def.LinkRate, 0),
		KVSurvival:   s.Millis("kv-survival-ms", def.KVSurvival),
		ReportLag:    s.Millis("report-lag-ms", def.ReportLag),
		CacheEntries: s.Int("cache-entries", def.CacheEntries, 0),
		Fencing:      table.Fencing(s.Choice("fencing", string(def.Fencing), string(table.FencingChecked), string(table.FencingIgnored))),
	}
}

func readService(s *inifile.Section) Service {
	return Service{
		Name:       id.Endpoint(s.Name),
		Address:    s.Loopback("address"),
		Delay:      s.Millis("delay-ms", 0),
		Idempotent: s.Bool("idempotent", false),
	}
}

// Only returns the settings reduced to the stand-ins with the given names. It
// returns an error if a name is not defined.
func (cfg Settings) Only(names []string) (Settings, error) {
	wanted := map[string]bool{}
	for _, name := range names {
		wanted[name] = true
	}
	var out Settings
	if cfg.Platform != nil && wanted[NamePlatform] {
		out.Platform = cfg.Platform
		delete(wanted, NamePlatform)
	}
	if cfg.Control != "" && wanted[NameControl] {
		out.Control = cfg.Control
		delete(wanted, NameControl)
	}
	for _, e := range cfg.Engines {
		if wanted[string(e.Name)] {
			out.Engines = append(out.Engines, e)
			delete(wanted, string(e.Name))
		}
	}
	for _, s := range cfg.Services {
		if wanted[string(s.Name)] {
			out.Services = append(out.Services, s)
			delete(wanted, string(s.Name))
		}
	}
	for name := range wanted {
		return Settings{}, fmt.Errorf("settings define no stand-in %q", name)
	}
	return out, nil
}
