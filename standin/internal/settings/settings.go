// Package settings reads the settings of the stand-ins from an INI file.
package settings

import (
	"fmt"
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/standin/inifile"
)

// The names by which the platform and the control address are selected and
// addressed by faults.
const (
	NamePlatform = "platform"
	NameControl  = "control"
)

// Settings describes all stand-ins of one file.
type Settings struct {
	Platform *Platform
	Engines  []Engine
	Services []Service
	Control  string // ip:port; empty for none
}

// Platform describes the platform's object API and host list.
type Platform struct {
	Address     string
	WriteRate   float64 // calls per second; 0 is no limit
	ReadRate    float64 // calls per second; 0 is no limit
	HostListLag time.Duration
	Hosts       []object.Host // with the addresses of their relays
	Relays      []Relay
}

// Relay describes the relay in front of one host.
type Relay struct {
	Host    id.Host
	Zone    id.Zone // of the host
	Address string
	Target  string // ip:port of the host
}

// Engine describes one model engine.
type Engine struct {
	Name         id.Endpoint
	Address      string
	Role         table.Role
	Slots        int64
	Blocks       int64
	BlockTokens  int64
	PrefillRate  int64         // prompt tokens per second
	TokenTime    time.Duration // between output tokens
	LinkRate     int64         // KV tokens per second; 0 is no limit
	KVSurvival   time.Duration
	ReportLag    time.Duration
	CacheEntries int64
	Fencing      table.Fencing
}

// Service describes one plain service.
type Service struct {
	Name       id.Endpoint
	Address    string
	Delay      time.Duration
	Idempotent bool // answers a repeated idempotency key without a new execution
}

// defaultEngine holds the values of keys that the file does not set.
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

// Load reads and checks the settings file at path.
func Load(path string) (Settings, error) {
	f, err := inifile.Load(path)
	if err != nil {
		return Settings{}, err
	}
	return read(f)
}

// Parse reads and checks data. Errors name it by path.
func Parse(path string, data []byte) (Settings, error) {
	f, err := inifile.Parse(path, data)
	if err != nil {
		return Settings{}, err
	}
	return read(f)
}

func read(f *inifile.File) (Settings, error) {
	var cfg Settings
	defaults := defaultEngine
	var hosts []object.Host
	var relays []Relay
	names := map[string]bool{}
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
		s.Done()
		checkName(s, names)
	}
	if cfg.Platform != nil {
		cfg.Platform.Hosts = hosts
		cfg.Platform.Relays = relays
	}
	return cfg, f.Err()
}

// checkName reports a missing or repeated name. All names share one space, as
// faults address their targets by name.
func checkName(s *inifile.Section, names map[string]bool) {
	named := s.Kind == "host" || s.Kind == "engine" || s.Kind == "service"
	if named != (s.Name != "") {
		s.Errorf("", "section [%s]: name is missing or not wanted", s.Kind)
		return
	}
	if named && (names[s.Name] || s.Name == NamePlatform || s.Name == NameControl) {
		s.Errorf("", "name %q is already in use", s.Name)
	}
	names[s.Name] = true
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

// Only returns the settings without the stand-ins whose names are not listed.
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
		return Settings{}, fmt.Errorf("settings name no stand-in %q", name)
	}
	return out, nil
}
