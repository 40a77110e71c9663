// Package settings reads and checks the INI settings of a router.
//
// An unknown section or key, a repeated key, a value out of range or a missing
// value is an error that names file and line. Nothing is changed silently.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"regexp"
	"sort"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// ErrSettings is the base of the errors of this package.
var ErrSettings = errors.New("settings")

// Settings are the checked settings of one router.
type Settings struct {
	Host  id.Host
	Zone  id.Zone
	Zones []id.Zone

	CallerAddress   string
	PeerAddress     string
	OperatorAddress string

	Protocol     Protocol
	ReadyAddress string  // empty: readiness is served to operators alone
	Domain       id.Zone // empty: the availability zone
	Domains      []id.Zone
	ChecksFences bool // engines refuse orders with a lower fencing number
	BlockTokens  int64
	PrefillRate  int64 // tokens per second
	RetryRatio   float64
	RetryWindow  time.Duration
	RetryExtra   int64
	MemoryLimit  int64 // bytes; 0 is none

	PlatformURL     string
	PlatformTimeout time.Duration

	MaxBody      int64 // bytes
	DefaultLimit int64 // tokens
	DrainTimeout time.Duration

	LeaseGroups   int
	SlotRate      int64 // tokens per second
	ReserveShare  float64
	Overrun       float64 // of a rate, as part of the tokens of a window
	Slack         int64   // tokens per window
	OverrunWindow time.Duration
	PooledLease   time.Duration
	ReserveLease  time.Duration
	CellEndpoints int
	ClaimShards   int
	Retention     time.Duration
	LogLevel      string
}

// Protocol is the protocol of callers, endpoints and platform.
type Protocol string

// The protocols.
const (
	ProtocolNative  Protocol = "native"  // the project's own
	ProtocolObjects Protocol = "objects" // that of the users' platform
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	Line int // 0 when the key is missing
	Key  string
	Text string
}

// Error formats the problem with its position.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", p.File, p.Key, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// SchedulingDomain returns the domain of this host, which is its availability zone
// unless the settings say otherwise.
func (s *Settings) SchedulingDomain() id.Zone {
	if s.Domain == "" {
		return s.Zone
	}
	return s.Domain
}

// SchedulingDomains returns all domains.
func (s *Settings) SchedulingDomains() []id.Zone {
	if len(s.Domains) == 0 {
		return s.Zones
	}
	return s.Domains
}

// Load reads and checks a file. The error joins all problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	return Parse(path, data)
}

// Parse checks the content of a settings file.
func Parse(name string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrSettings, name, err)
	}
	p := &parser{name: name, lines: make(map[string]int), file: file}
	p.readLines(data)
	p.rejectUnknown()
	s := new(Settings)
	for _, f := range fields {
		p.apply(s, f)
	}
	p.checkZones(s)
	p.checkAddresses(s)
	p.checkLeases(s)
	if len(p.problems) > 0 {
		return nil, fmt.Errorf("%w:\n%w", ErrSettings, errors.Join(p.problems...))
	}
	return s, nil
}

// loadOptions turn off what the INI library would change in a value: a "#" or
// ";" within it, a backslash at its end, a colon in place of "=".
var loadOptions = ini.LoadOptions{
	SpaceBeforeInlineComment: true,
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
}

type parser struct {
	name     string
	lines    map[string]int
	file     *ini.File
	problems []error
}

func (p *parser) problem(key, format string, args ...any) {
	p.problems = append(p.problems, &Problem{
		File: p.name, Line: p.lines[key], Key: key, Text: fmt.Sprintf(format, args...),
	})
}

// readLines notes the line of each key. A key that stands twice is a problem,
// because the library takes the last one.
func (p *parser) readLines(data []byte) {
	section := ""
	for i, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") && strings.Contains(line, "]") {
			section = strings.TrimSpace(line[1:strings.Index(line, "]")])
			p.lines[section+"."] = i + 1
			continue
		}
		name, _, ok := strings.Cut(line, "=")
		if !ok || strings.HasPrefix(line, "#") || strings.HasPrefix(line, ";") {
			continue
		}
		key := section + "." + strings.Trim(strings.TrimSpace(name), "\"`")
		first, repeated := p.lines[key]
		p.lines[key] = i + 1
		if repeated {
			p.problem(key, "the key stands on line %d already", first)
		}
	}
}

func (p *parser) rejectUnknown() {
	known := make(map[string]bool, 2*len(fields))
	for _, f := range fields {
		known[f.Key()] = true
		known[f.Section+"."] = true
	}
	for _, sec := range p.file.Sections() {
		if sec.Name() != ini.DefaultSection && !known[sec.Name()+"."] {
			p.problem(sec.Name()+".", "unknown section")
		}
		for _, k := range sec.Keys() {
			key := sec.Name() + "." + k.Name()
			if sec.Name() == ini.DefaultSection {
				key = "." + k.Name()
			}
			if !known[key] {
				p.problem(key, "unknown key")
			}
		}
	}
}

// apply sets one field from the file or from its default.
func (p *parser) apply(s *Settings, f Field) {
	text := f.Default
	if sec, err := p.file.GetSection(f.Section); err == nil && sec.HasKey(f.Name) {
		text = sec.Key(f.Name).Value()
	}
	if text == "" {
		p.problem(f.Key(), "a value is required")
		return
	}
	if err := f.set(s, text); err != nil {
		p.problem(f.Key(), "%s", err.Error())
	}
}

func (p *parser) checkZones(s *Settings) {
	if len(s.Zones) == 0 || s.Zone == "" {
		return
	}
	for _, z := range s.Zones {
		if z == s.Zone {
			return
		}
	}
	p.problem("host.zone", "zone %q is not in host.zones", s.Zone)
}

// checkAddresses rejects an address that two listeners would share.
func (p *parser) checkAddresses(s *Settings) {
	seen := make(map[string]string)
	for _, a := range []struct{ key, address string }{
		{"caller.address", s.CallerAddress}, {"peer.address", s.PeerAddress}, {"operator.address", s.OperatorAddress},
	} {
		if other, ok := seen[a.address]; ok && a.address != "" {
			p.problem(a.key, "%s is also %s", a.address, other)
		}
		seen[a.address] = a.key
	}
}

// checkLeases rejects a reserve that lapses before the pooled part, so that it
// would not serve as one.
func (p *parser) checkLeases(s *Settings) {
	if s.PooledLease > 0 && s.ReserveLease > 0 && s.ReserveLease < s.PooledLease {
		p.problem("limit.reserve-lease", "%s is shorter than limit.pooled-lease, which is %s", s.ReserveLease, s.PooledLease)
	}
}

func parseName(text string) (string, error) {
	if !namePattern.MatchString(text) {
		return "", fmt.Errorf("%q is not a name of 1 to 63 letters, digits, '.', '_' and '-'", text)
	}
	return text, nil
}

// namePattern is the form of names in the operators' table.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func parseAddress(text string) (string, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return "", fmt.Errorf("%q is not an address of the form ip:port", text)
	}
	return text, nil
}

func parseURL(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return "", fmt.Errorf("%q is not an http or https URL", text)
	}
	if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return "", fmt.Errorf("%q has more than scheme, host and path", u.Redacted())
	}
	return strings.TrimRight(text, "/"), nil
}

func parseInt(text string, low, high int64) (int64, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < low || n > high {
		return 0, fmt.Errorf("%q is not a whole number from %d to %d", text, low, high)
	}
	return n, nil
}

func parseDuration(text string, low, high time.Duration) (time.Duration, error) {
	d, err := time.ParseDuration(text)
	if err != nil || d < low || d > high {
		return 0, fmt.Errorf("%q is not a duration from %s to %s", text, low, high)
	}
	return d, nil
}

func parseZones(text string) ([]id.Zone, error) {
	seen := make(map[id.Zone]bool)
	var out []id.Zone
	for _, part := range strings.Split(text, ",") {
		name, err := parseName(strings.TrimSpace(part))
		if err != nil {
			return nil, err
		}
		z := id.Zone(name)
		if seen[z] {
			return nil, fmt.Errorf("zone %q stands twice", z)
		}
		seen[z] = true
		out = append(out, z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, nil
}

// Fencing tells whether engines check fencing numbers.
func (s *Settings) Fencing() table.Fencing {
	if s.ChecksFences {
		return table.FencingChecked
	}
	return table.FencingIgnored
}
