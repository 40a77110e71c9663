package settings

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap/zapcore"

	"ragwortshunt.example/fleet/id"
)

// Field describes one key of the settings file and how its value is parsed.
type Field struct {
	Section string
	Name    string
	Default string // empty if a value is required
	Help    string // meaning, unit and range
	set     func(s *Settings, text string) error
}

// Key returns the section and the name, joined by a dot.
func (f Field) Key() string {
	return f.Section + "." + f.Name
}

// Fields returns the descriptions of all keys, in the order of the operators' page.
func Fields() []Field {
	return append([]Field(nil), fields...)
}

// Upper limits of values.
const (
	maxTokensLimit = 1 << 20  // tokens
	maxBodyLimit   = 64 << 20 // bytes
	maxCapacity    = 1024     // processor cores
	maxColdOverrun = 1000
	maxColdSlack   = 100_000 // requests
	maxRate        = 1 << 40 // also the limit of the other counts without a stated range
)

var fields = []Field{
	{"host", "name", "", "Name of this host, as in the platform's host list.", setHost},
	{"host", "zone", "", "Availability zone of this host.", setZone},
	{"host", "zones", "", "All availability zones, separated by commas; the same on every host.", setZones},
	{"host", "drain-timeout", "10m", "Longest graceful shutdown, after which the process may be killed, 1s to 24h.", duration(
		func(s *Settings) *time.Duration { return &s.DrainTimeout }, time.Second, 24*time.Hour)},
	{"host", "memory-limit", "0", "Memory that the process tries to stay within, in bytes; 0 is no limit.", integer(
		func(s *Settings) *int64 { return &s.MemoryLimit }, 0, 1<<40)},
	{"host", "capacity", "0", "Part of a processor core that the host may use, 0 to 1024; 0 is unknown. Hosts with at least half of the largest capacity do the work for all hosts.", func(s *Settings, text string) error {
		return setNumber(&s.Capacity, text, maxCapacity)
	}},
	{"host", "machine-memory", "0", "Memory of the machine in MB, rounded down; 0 is unknown. Connections, requests and responses may fill a quarter of it, or 64 MB.", allowance(
		func(s *Settings) *int64 { return &s.MachineMemory }, 1<<24)},
	{"host", "max-open-files", "0", "Descriptors that the process may have, rounded down; 0 is the limit of the process. Less 200 for files, two fifths of them are for connections of clients, and as many for the connections to endpoints that their requests need.", allowance(
		func(s *Settings) *int64 { return &s.MaxOpenFiles }, 1<<24)},
	{"caller", "address", "", "ip:port on which callers are served.", address(
		func(s *Settings) *string { return &s.CallerAddress })},
	{"caller", "max-body-bytes", "1048576", "Largest request body in bytes, 1024 to 67108864.", integer(
		func(s *Settings) *int64 { return &s.MaxBodyBytes }, 1024, maxBodyLimit)},
	{"caller", "default-max-tokens", "256", "Output limit of a request that states none, in tokens, 1 to 1048576.", integer(
		func(s *Settings) *int64 { return &s.DefaultMaxTokens }, 1, maxTokensLimit)},
	{"caller", "ready-address", "-", "ip:port on which the platform's balancer asks for readiness; - is none.", setReadyAddress},
	{"peer", "address", "", "ip:port on which other hosts are served.", address(
		func(s *Settings) *string { return &s.PeerAddress })},
	{"operator", "address", "", "ip:port of health, status, explain and metrics.", address(
		func(s *Settings) *string { return &s.OperatorAddress })},
	{"operator", "log-level", "info", "debug, info, warn or error.", setLogLevel},
	{"platform", "protocol", "native", "native: the project's own protocols; objects: those of the users' platform.", setProtocol},
	{"platform", "url", "", "URL of the platform's object API.", setPlatform},
	{"platform", "timeout", "2s", "Longest platform call, 10ms to 1m.", duration(
		func(s *Settings) *time.Duration { return &s.PlatformTimeout }, 10*time.Millisecond, time.Minute)},
	{"platform", "checks-fences", "true", "Engines refuse an order with a lower fencing number than they have seen.", func(s *Settings, text string) (err error) {
		s.ChecksFences, err = strconv.ParseBool(text)
		return err
	}},
	{"platform", "evacuation", "0s", "Time within which a zone that the operator evacuates gets no new requests, 0s to 1h; 0s: the platform evacuates no zones, and is not asked for them.", duration(
		func(s *Settings) *time.Duration { return &s.Evacuation }, 0, time.Hour)},
	{"limit", "lease-groups", "64", "Lease groups per zone, 1 to 4096; the same on every host.", setLeaseGroups},
	{"limit", "slot-rate", "20000", "Rate in tokens per second that one share slot of an account carries; the same on every host.", integer(
		func(s *Settings) *int64 { return &s.SlotRate }, 1, maxRate)},
	{"limit", "reserve-share", "0.5", "Part of each share under the long lease, 0 to 1; the same on every host.", setReserveShare},
	{"limit", "pooled-lease", "20s", "Short lease, 1s to 10m; the same on every host.", duration(
		func(s *Settings) *time.Duration { return &s.PooledLease }, time.Second, 10*time.Minute)},
	{"limit", "reserve-lease", "20m", "Long lease, 1s to 24h; the same on every host.", duration(
		func(s *Settings) *time.Duration { return &s.ReserveLease }, time.Second, 24*time.Hour)},
	{"limit", "overrun", "0", "Part of an account's rate and burst by which the platform lets it exceed them in a window, 0 to 1; the same on every host.", func(s *Settings, text string) error {
		return setFraction(&s.Overrun, text)
	}},
	{"limit", "overrun-slack", "0", "Tokens by which the platform lets an account exceed its rate and burst in a window, rounded down; the same on every host.", allowance(
		func(s *Settings) *int64 { return &s.OverrunSlack }, maxRate)},
	{"limit", "overrun-window", "10s", "Window of the two settings above, 1s to 10m; the same on every host.", duration(
		func(s *Settings) *time.Duration { return &s.OverrunWindow }, time.Second, 10*time.Minute)},
	{"schedule", "domain", "-", "Hosts and endpoints of one domain share cells, rates and heartbeats; - is the availability zone.", setDomain},
	{"schedule", "domains", "-", "All domains, separated by commas; the same on every host; - is all availability zones.", setDomains},
	{"schedule", "block-tokens", "16", "Tokens in one memory block of an engine whose platform does not state it, 1 to 65536.", integer(
		func(s *Settings) *int64 { return &s.BlockTokens }, 1, 65536)},
	{"schedule", "prefill-rate", "24000", "Prompt tokens per second of an engine whose platform does not state it.", integer(
		func(s *Settings) *int64 { return &s.PrefillRate }, 1, maxRate)},
	{"schedule", "cell-endpoints", "16", "Most endpoints in one cell, 2 to 256; the same on every host.", setCellEndpoints},
	{"cold-start", "overrun", "0", "Requests that a cold endpoint may get in any second from all hosts together, in multiples of the rate that its service states, 0 to 1000; 0: cold endpoints are not limited; the same on every host.", func(s *Settings, text string) error {
		return setNumber(&s.ColdOverrun, text, maxColdOverrun)
	}},
	{"cold-start", "slack", "0", "Requests that a cold endpoint may get in any second on top of that, 0 to 100000; the same on every host.", func(s *Settings, text string) error {
		return setNumber(&s.ColdSlack, text, maxColdSlack)
	}},
	{"retry", "ratio", "0.2", "Repeated dispatches per request of a service, over all hosts, 0 to 1.", setRetryRatio},
	{"retry", "window", "10s", "Span over which repeated dispatches are counted, 1s to 10m.", duration(
		func(s *Settings) *time.Duration { return &s.RetryWindow }, time.Second, 10*time.Minute)},
	{"retry", "extra", "10", "Repeated dispatches of a service in each window on top of the ratio, over all hosts, rounded down.", allowance(
		func(s *Settings) *int64 { return &s.RetryExtra }, maxRate)},
	{"pace", "enabled", "false", "Endpoints of plain services are chosen by their speed and failures over all hosts; on the users' platform only.", func(s *Settings, text string) (err error) {
		s.Pace, err = strconv.ParseBool(text)
		return err
	}},
	{"claim", "shards", "256", "Claim objects in the platform, 1 to 4096; the same on every host and never changed while claims are kept.", setClaimShards},
	{"claim", "retention", "24h", "How long claims of non-idempotent calls are kept, 1m to 720h.", duration(
		func(s *Settings) *time.Duration { return &s.Retention }, time.Minute, 720*time.Hour)},
}

func setHost(s *Settings, text string) error {
	name, err := parseName(text)
	s.Host = id.Host(name)
	return err
}

func setZone(s *Settings, text string) error {
	name, err := parseName(text)
	s.Zone = id.Zone(name)
	return err
}

func setZones(s *Settings, text string) (err error) {
	s.Zones, err = parseZones(text)
	return err
}

func setPlatform(s *Settings, text string) (err error) {
	s.PlatformURL, err = parseURL(text)
	return err
}

func setProtocol(s *Settings, text string) error {
	switch p := Protocol(text); p {
	case ProtocolNative, ProtocolObjects:
		s.Protocol = p
		return nil
	}
	return fmt.Errorf("%q is not native or objects", text)
}

// unset is the value that leaves an optional key without a value. An empty value cannot
// be used for this, because it counts as missing.
const unset = "-"

func setReadyAddress(s *Settings, text string) (err error) {
	if text != unset {
		s.ReadyAddress, err = parseAddress(text)
	}
	return err
}

func setDomain(s *Settings, text string) error {
	if text == unset {
		return nil
	}
	name, err := parseName(text)
	s.Domain = id.Zone(name)
	return err
}

// setDomains parses a list in which a domain may occur more than once. The result is
// sorted and has no duplicates.
func setDomains(s *Settings, text string) error {
	if text == unset {
		return nil
	}
	for _, item := range strings.Split(text, ",") {
		name, err := parseName(strings.TrimSpace(item))
		if err != nil {
			return err
		}
		if d := id.Zone(name); !slices.Contains(s.Domains, d) {
			s.Domains = append(s.Domains, d)
		}
	}
	slices.Sort(s.Domains)
	return nil
}

func setRetryRatio(s *Settings, text string) error {
	return setFraction(&s.RetryRatio, text)
}

func setLogLevel(s *Settings, text string) error {
	if _, err := zapcore.ParseLevel(text); err != nil {
		return fmt.Errorf("%q is not a log level", text)
	}
	s.LogLevel = text
	return nil
}

func setReserveShare(s *Settings, text string) error {
	return setFraction(&s.ReserveShare, text)
}

// setFraction parses a number from 0 to 1.
func setFraction(dst *float64, text string) error {
	return setNumber(dst, text, 1)
}

// setNumber parses a number from 0 to high. It rejects NaN.
func setNumber(dst *float64, text string, high float64) error {
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || !(v >= 0 && v <= high) {
		return fmt.Errorf("%q is not a number from 0 to %g", text, high)
	}
	*dst = v
	return nil
}

func setLeaseGroups(s *Settings, text string) error {
	return setInt(&s.LeaseGroups, text, 1, 4096)
}

func setCellEndpoints(s *Settings, text string) error {
	return setInt(&s.CellEndpoints, text, 2, 256)
}

func setClaimShards(s *Settings, text string) error {
	return setInt(&s.ClaimShards, text, 1, 4096)
}

func setInt(dst *int, text string, low, high int64) error {
	n, err := parseInt(text, low, high)
	if err != nil {
		return err
	}
	*dst = int(n)
	return nil
}

// address returns a setter of a field that holds an address of the form ip:port.
func address(dst func(*Settings) *string) func(*Settings, string) error {
	return func(s *Settings, text string) (err error) {
		*dst(s), err = parseAddress(text)
		return err
	}
}

// integer returns a setter of a field that holds an integer from low to high.
func integer(dst func(*Settings) *int64, low, high int64) func(*Settings, string) error {
	return func(s *Settings, text string) (err error) {
		*dst(s), err = parseInt(text, low, high)
		return err
	}
}

// allowance returns a setter of a field that holds an amount from 0 to high which must not
// be exceeded. The platform may state it with a fraction, which is cut off.
func allowance(dst func(*Settings) *int64, high int64) func(*Settings, string) error {
	return func(s *Settings, text string) error {
		var v float64
		if err := setNumber(&v, text, float64(high)); err != nil {
			return err
		}
		*dst(s) = int64(v)
		return nil
	}
}

// duration returns a setter of a field that holds a duration from low to high.
func duration(dst func(*Settings) *time.Duration, low, high time.Duration) func(*Settings, string) error {
	return func(s *Settings, text string) (err error) {
		*dst(s), err = parseDuration(text, low, high)
		return err
	}
}
