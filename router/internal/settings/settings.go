// Package settings parses and validates the INI settings file of a router.
//
// An unknown section or key, a duplicate key, a value out of range or a missing value is
// an error that states the file and the line. No value is adjusted silently.
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

// ErrSettings is wrapped by all errors of this package.
var ErrSettings = errors.New("settings")

// Settings are the validated settings of one router.
type Settings struct {
	Host  id.Host
	Zone  id.Zone
	Zones []id.Zone

	CallerAddress   string
	PeerAddress     string
	OperatorAddress string

	Protocol      Protocol
	ReadyAddress  string    // empty: readiness is served only on OperatorAddress
	Domain        id.Zone   // scheduling domain; empty: the availability zone
	Domains       []id.Zone // all scheduling domains, sorted; empty: Zones
	ChecksFences  bool      // engines reject orders with a lower fencing token than they have seen
	BlockTokens   int64     // tokens per KV block
	PrefillRate   int64     // tokens per second
	RetryRatio    float64   // retries per request of a service, 0 to 1
	RetryWindow   time.Duration
	RetryExtra    int64   // retries per window in addition to RetryRatio
	Pace          bool    // endpoints of plain services are chosen by their speed over all hosts
	MemoryLimit   int64   // bytes; 0: no limit
	MachineMemory int64   // MB; 0 is unknown
	MaxOpenFiles  int64   // descriptors of the process; 0: its own limit
	Capacity      float64 // part of a processor core; 0 is unknown

	PlatformURL     string
	PlatformTimeout time.Duration
	Evacuation      time.Duration // time within which an evacuated zone gets no new requests; 0: zones are not evacuated

	MaxBodyBytes     int64 // bytes
	DefaultMaxTokens int64 // tokens; output limit of a request that states none
	DrainTimeout     time.Duration

	LeaseGroups   int
	SlotRate      int64   // tokens per second
	ReserveShare  float64 // fraction of each rate share under ReserveLease, 0 to 1
	Overrun       float64 // fraction by which an account may exceed its rate and burst in OverrunWindow, 0 to 1
	OverrunSlack  int64   // tokens per OverrunWindow in addition to Overrun
	OverrunWindow time.Duration
	PooledLease   time.Duration // short lease, of the pooled part of a rate share
	ReserveLease  time.Duration // long lease, of the reserved part
	ColdOverrun   float64       // requests to a cold endpoint in any second, in multiples of the rate that it takes; 0: not limited
	ColdSlack     float64       // requests in addition to ColdOverrun
	CellEndpoints int
	ClaimShards   int
	Retention     time.Duration // how long claims are kept
	LogLevel      string
}

// Protocol selects the protocols that callers, endpoints and the platform use.
type Protocol string

// Values of Protocol.
const (
	ProtocolNative  Protocol = "native"  // native protocols of this project
	ProtocolObjects Protocol = "objects" // protocols of the users' platform
)

// Problem is one error in a settings file.
type Problem struct {
	File string
	Line int // 0 if the file does not have the key
	Key  string
	Text string
}

// Error returns the text of the problem, prefixed with its file, line and key.
func (p *Problem) Error() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s: %s", p.File, p.Key, p.Text)
	}
	return fmt.Sprintf("%s:%d: %s: %s", p.File, p.Line, p.Key, p.Text)
}

// SchedulingDomain returns the scheduling domain of this host. It defaults to the
// availability zone.
func (s *Settings) SchedulingDomain() id.Zone {
	if s.Domain == "" {
		return s.Zone
	}
	return s.Domain
}

// SchedulingDomains returns all scheduling domains, sorted. They default to the
// availability zones.
func (s *Settings) SchedulingDomains() []id.Zone {
	if len(s.Domains) == 0 {
		return s.Zones
	}
	return s.Domains
}

// Load reads and validates a settings file. The error wraps ErrSettings and lists all
// problems.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrSettings, err)
	}
	return Parse(path, data)
}

// Parse parses and validates the content of a settings file. name is the file name that
// errors state.
func Parse(name string, data []byte) (*Settings, error) {
	file, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return nil, fmt.Errorf("%w: %s: %w", ErrSettings, name, err)
	}
	p := &parser{name: name, lines: make(map[string]int), file: file}
	p.recordLines(data)
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

// loadOptions turns off features of the INI library that would change a value: a "#" or
// ";" within a value as the start of a comment, a backslash at the end of a line as a
// continuation, and a colon as a delimiter in place of "=".
var loadOptions = ini.LoadOptions{
	SpaceBeforeInlineComment: true,
	IgnoreContinuation:       true,
	KeyValueDelimiters:       "=",
}

// parser collects the problems of one settings file.
type parser struct {
	name     string         // file name, for problems
	lines    map[string]int // line of each key, and of each section as "section."
	file     *ini.File
	problems []error
}

func (p *parser) addProblem(key, format string, args ...any) {
	p.problems = append(p.problems, &Problem{
		File: p.name, Line: p.lines[key], Key: key, Text: fmt.Sprintf(format, args...),
	})
}

// recordLines records the line of each key and section. A duplicate key is a problem,
// because the library would silently use its last value.
func (p *parser) recordLines(data []byte) {
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
		first, duplicate := p.lines[key]
		p.lines[key] = i + 1
		if duplicate {
			p.addProblem(key, "duplicate key, first defined on line %d", first)
		}
	}
}

// rejectUnknown reports sections and keys that no field defines.
func (p *parser) rejectUnknown() {
	known := make(map[string]bool, 2*len(fields))
	for _, f := range fields {
		known[f.Key()] = true
		known[f.Section+"."] = true
	}
	for _, sec := range p.file.Sections() {
		if sec.Name() != ini.DefaultSection && !known[sec.Name()+"."] {
			p.addProblem(sec.Name()+".", "unknown section")
		}
		for _, k := range sec.Keys() {
			key := sec.Name() + "." + k.Name()
			if sec.Name() == ini.DefaultSection {
				key = "." + k.Name()
			}
			if !known[key] {
				p.addProblem(key, "unknown key")
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
		p.addProblem(f.Key(), "a value is required")
		return
	}
	if err := f.set(s, text); err != nil {
		p.addProblem(f.Key(), "%s", err.Error())
	}
}

// checkZones reports an availability zone of this host that is not in the list of all
// availability zones.
func (p *parser) checkZones(s *Settings) {
	if len(s.Zones) == 0 || s.Zone == "" {
		return
	}
	for _, z := range s.Zones {
		if z == s.Zone {
			return
		}
	}
	p.addProblem("host.zone", "zone %q is not in host.zones", s.Zone)
}

// checkAddresses reports an address that two of the listeners for callers, peers and
// operators would share. It does not check ReadyAddress.
func (p *parser) checkAddresses(s *Settings) {
	seen := make(map[string]string)
	for _, a := range []struct{ key, address string }{
		{"caller.address", s.CallerAddress}, {"peer.address", s.PeerAddress}, {"operator.address", s.OperatorAddress},
	} {
		if other, ok := seen[a.address]; ok && a.address != "" {
			p.addProblem(a.key, "%s is also %s", a.address, other)
		}
		seen[a.address] = a.key
	}
}

// checkLeases reports a reserve lease that expires before the pooled lease, since it would
// be of no use as a reserve.
func (p *parser) checkLeases(s *Settings) {
	if s.PooledLease > 0 && s.ReserveLease > 0 && s.ReserveLease < s.PooledLease {
		p.addProblem("limit.reserve-lease", "%s is shorter than limit.pooled-lease, which is %s", s.ReserveLease, s.PooledLease)
	}
}

func parseName(text string) (string, error) {
	if !namePattern.MatchString(text) {
		return "", fmt.Errorf("%q is not a name of 1 to 63 letters, digits, '.', '_' and '-'", text)
	}
	return text, nil
}

// namePattern matches the names that are valid in the operators' table.
var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$`)

func parseAddress(text string) (string, error) {
	a, err := netip.ParseAddrPort(text)
	if err != nil || a.Port() == 0 {
		return "", fmt.Errorf("%q is not an address of the form ip:port", text)
	}
	return text, nil
}

// parseURL removes trailing slashes, so that paths can be appended.
func parseURL(text string) (string, error) {
	u, err := url.Parse(text)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		return "", fmt.Errorf("%q is not an http or https URL", text)
	}
	if u.RawQuery != "" || u.Fragment != "" || u.User != nil {
		return "", fmt.Errorf("%q must consist of scheme, host and path only", u.Redacted())
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

// parseZones parses a list of names that are separated by commas, and sorts it.
func parseZones(text string) ([]id.Zone, error) {
	seen := make(map[id.Zone]bool)
	var out []id.Zone
	for _, item := range strings.Split(text, ",") {
		name, err := parseName(strings.TrimSpace(item))
		if err != nil {
			return nil, err
		}
		z := id.Zone(name)
		if seen[z] {
			return nil, fmt.Errorf("zone %q is listed twice", z)
		}
		seen[z] = true
		out = append(out, z)
	}
	sort.Slice(out, func(i, j int) bool { return out[i] < out[j] })
	return out, nil
}

// Fencing returns ChecksFences as a value of package table.
func (s *Settings) Fencing() table.Fencing {
	if s.ChecksFences {
		return table.FencingChecked
	}
	return table.FencingIgnored
}
