package cluster

import (
	"encoding/csv"
	"errors"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
)

// Row kinds, columns and roles of the configuration table that this package uses.
const (
	kindAccount  = "account"
	kindPool     = "pool"
	kindEndpoint = "endpoint"
	colKind      = "kind"
	colName      = "name"
	colRole      = "role"
	colPool      = "pool"
	colZone      = "zone"
	colAddress   = "address"
	colState     = "state"
	colRate      = "rate-tokens-per-s"
	colBurst     = "burst-tokens"
	roleService  = "service"
)

// Table is the configuration table of the deployment in the CSV form that operators
// edit.
type Table struct {
	columns map[string]int // index by column name
	rows    [][]string     // row 0 is the header
}

// readTable reads a table from a CSV file with a header.
func readTable(path string) (*Table, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, fmt.Errorf("read table: %w", err)
	}
	defer f.Close()
	rows, err := csv.NewReader(f).ReadAll()
	if err != nil {
		return nil, fmt.Errorf("read table: %w", err)
	}
	t := &Table{columns: map[string]int{}, rows: rows}
	for i, name := range rows[0] {
		t.columns[name] = i
	}
	return t, nil
}

// SetState sets the state of a row, for example "leaving" for an endpoint or "withdrawn"
// for a key. It does nothing if the row does not exist.
func (t *Table) SetState(kind, name, state string) { t.set(kind, name, colState, state) }

// set sets one cell of the rows with the given kind and name.
func (t *Table) set(kind, name, column, value string) {
	for _, row := range t.rows[1:] {
		if t.cell(row, colKind) == kind && t.cell(row, colName) == name {
			row[t.columns[column]] = value
		}
	}
}

func (t *Table) cell(row []string, column string) string { return row[t.columns[column]] }

// names returns the names of the rows of a kind.
func (t *Table) names(kind string) []string {
	var out []string
	for _, row := range t.rows[1:] {
		if t.cell(row, colKind) == kind {
			out = append(out, t.cell(row, colName))
		}
	}
	return out
}

// value returns one cell, or "" if the row does not exist.
func (t *Table) value(kind, name, column string) string {
	for _, row := range t.rows[1:] {
		if t.cell(row, colKind) == kind && t.cell(row, colName) == name {
			return t.cell(row, column)
		}
	}
	return ""
}

// limits returns the rate limit of each account.
func (t *Table) limits() (map[string]Limit, error) {
	out := map[string]Limit{}
	for _, name := range t.names(kindAccount) {
		rate, err := strconv.ParseInt(t.value(kindAccount, name, colRate), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("account %s: %w", name, err)
		}
		burst, err := strconv.ParseInt(t.value(kindAccount, name, colBurst), 10, 64)
		if err != nil {
			return nil, fmt.Errorf("account %s: %w", name, err)
		}
		out[name] = Limit{Rate: rate, Burst: burst}
	}
	return out, nil
}

func (t *Table) write(path string) error {
	var b strings.Builder
	if err := csv.NewWriter(&b).WriteAll(t.rows); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	if err := os.WriteFile(path, []byte(b.String()), filePerm); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// ports allocates free TCP ports of the loopback interface. It keeps them bound until
// release, so that no port is allocated twice and no other program takes one.
type ports struct {
	listeners []net.Listener
}

// next allocates a port and returns its address.
func (p *ports) next() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("allocate port: %w", err)
	}
	p.listeners = append(p.listeners, l)
	return l.Addr().String(), nil
}

// release frees all allocated ports, so that the processes can bind them.
func (p *ports) release() error {
	var errs []error
	for _, l := range p.listeners {
		errs = append(errs, l.Close())
	}
	p.listeners = nil
	return errors.Join(errs...)
}

// host is one router of the layout.
type host struct {
	name, zone string
	// Listen addresses, by the kind of client. relay is the address at which peers
	// reach the router through a relay; empty without relays.
	caller, peer, operator, relay string
}

// layout assigns addresses to all processes, and stand-ins to processes.
type layout struct {
	platform         string              // address
	controlAddresses map[string]string   // of the control server, by stand-in process
	standinNames     map[string][]string // by stand-in process; names of endpoints, or "platform"
	zones            []string            // sorted
	hosts            []host
	table            *Table
}

func newLayout(cfg Config, p *ports) (*layout, error) {
	t, err := readTable(filepath.Join(cfg.Root, "examples", "tallinn.csv"))
	if err != nil {
		return nil, err
	}
	l := &layout{controlAddresses: map[string]string{}, standinNames: map[string][]string{}, table: t}
	if l.platform, err = p.next(); err != nil {
		return nil, err
	}
	if err := l.addEndpoints(cfg, p); err != nil {
		return nil, err
	}
	slices.Sort(l.zones)
	for _, zone := range l.zones {
		for i := range cfg.HostsPerZone {
			h, err := newHost(cfg, p, zone, i+1)
			if err != nil {
				return nil, err
			}
			l.hosts = append(l.hosts, h)
		}
	}
	l.standinNames[platformProcess] = []string{"platform"}
	for name := range l.standinNames {
		if l.controlAddresses[name], err = p.next(); err != nil {
			return nil, err
		}
	}
	return l, nil
}

// addEndpoints assigns each endpoint an address and a process: that of its zone, or a
// dedicated one.
func (l *layout) addEndpoints(cfg Config, p *ports) error {
	for _, name := range l.table.names(kindEndpoint) {
		address, err := p.next()
		if err != nil {
			return err
		}
		l.table.set(kindEndpoint, name, colAddress, address)
		zone := l.table.value(kindEndpoint, name, colZone)
		if !slices.Contains(l.zones, zone) {
			l.zones = append(l.zones, zone)
		}
		process := zone
		if slices.Contains(cfg.DedicatedEndpoints, name) {
			process = name
		}
		l.standinNames[process] = append(l.standinNames[process], name)
	}
	return nil
}

// processOf returns the stand-in process that injects the faults of a target. Zones and
// the platform belong to the platform process.
func (l *layout) processOf(target string) string {
	for name, standinNames := range l.standinNames {
		if slices.Contains(standinNames, target) {
			return name
		}
	}
	return platformProcess
}

// newHost returns the n-th router of a zone, with allocated addresses.
func newHost(cfg Config, p *ports, zone string, n int) (host, error) {
	h := host{name: fmt.Sprintf("%s-%d", zone, n), zone: zone}
	addresses := []*string{&h.caller, &h.peer, &h.operator}
	if cfg.Relays {
		addresses = append(addresses, &h.relay)
	}
	for _, a := range addresses {
		var err error
		if *a, err = p.next(); err != nil {
			return host{}, err
		}
	}
	return h, nil
}

// standins returns the settings file of the stand-ins.
func (l *layout) standins() string {
	var b strings.Builder
	fmt.Fprintf(&b, "[platform]\naddress = %s\nwrite-rate = 400\nread-rate = 2000\nhost-list-lag-ms = 1000\n", l.platform)
	b.WriteString("[engine-defaults]\nslots = 20\nblocks = 200\nblock-tokens = 4000\n")
	for _, h := range l.hosts {
		fmt.Fprintf(&b, "[host %s]\nzone = %s\naddress = %s\n", h.name, h.zone, h.peer)
		if h.relay != "" {
			fmt.Fprintf(&b, "relay = %s\n", h.relay)
		}
	}
	for _, name := range l.table.names(kindEndpoint) {
		address := l.table.value(kindEndpoint, name, colAddress)
		role := l.table.value(kindPool, l.table.value(kindEndpoint, name, colPool), colRole)
		if role == roleService {
			fmt.Fprintf(&b, "[service %s]\naddress = %s\ndelay-ms = 5\n", name, address)
			continue
		}
		fmt.Fprintf(&b, "[engine %s]\naddress = %s\nrole = %s\n", name, address, role)
	}
	return b.String()
}

// router returns the settings file of one router.
func (l *layout) router(h host) string {
	return fmt.Sprintf(`[host]
name = %s
zone = %s
zones = %s
[caller]
address = %s
[peer]
address = %s
[operator]
address = %s
[platform]
url = http://%s
[limit]
pooled-lease = %s
reserve-lease = %s
`, h.name, h.zone, strings.Join(l.zones, ", "), h.caller, h.peer, h.operator, l.platform, PooledLease, ReserveLease)
}
