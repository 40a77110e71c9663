package operator

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	tally "github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
)

// maxAccounts is the maximum number of client accounts that have their own label value.
// All others share otherAccounts, which keeps the metrics page small with 20,000
// accounts.
const maxAccounts = 64

// maxEndpoints is the maximum number of endpoints that have a gauge of one name. A started
// process of an endpoint has a new name, and gauges are kept until this process ends.
const maxEndpoints = 256

// otherAccounts is the label value that the accounts beyond maxAccounts share.
const otherAccounts = "other"

const reportInterval = time.Second

// latencyBuckets are the upper bounds of the buckets of all latency histograms.
var latencyBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 35 * time.Millisecond, 51 * time.Millisecond, 75 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 350 * time.Millisecond, 570 * time.Millisecond,
	800 * time.Millisecond, 1200 * time.Millisecond, 2 * time.Second, 5 * time.Second,
	10 * time.Second, 30 * time.Second, 60 * time.Second,
}

// Metrics holds the metrics of this host and serves them in the Prometheus format. It is
// safe for concurrent use.
type Metrics struct {
	scope    tally.Scope
	closer   io.Closer
	reporter prometheus.Reporter

	mu         sync.Mutex
	accounts   map[id.Account]bool
	counters   map[counterKey]tally.Counter
	histograms map[histogramKey]tally.Histogram
	endpoints  map[endpointKey]tally.Gauge
	gauges     map[string]int // number of endpoints with a gauge, by its name
}

type endpointKey struct {
	name     string
	endpoint id.Endpoint
}

// EndpointValue is the value of a gauge for one endpoint.
type EndpointValue struct {
	Endpoint id.Endpoint
	Value    float64
}

type counterKey struct {
	name, account, code string
	level               string // blank for metrics without this label
}

type histogramKey struct {
	name, account string
}

// NewMetrics returns metrics that all carry the labels host and zone. The metrics of the
// Go runtime and of the process are served too, without these labels.
func NewMetrics(host id.Host, zone id.Zone) *Metrics {
	registry := prom.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: registry})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix:          "ragwortshunt",
		Tags:            map[string]string{"host": string(host), "zone": string(zone)},
		CachedReporter:  reporter,
		Separator:       prometheus.DefaultSeparator,
		SanitizeOptions: sanitizer(),
	}, reportInterval)
	return &Metrics{
		scope: scope, closer: closer, reporter: reporter,
		accounts:   make(map[id.Account]bool),
		counters:   make(map[counterKey]tally.Counter),
		histograms: make(map[histogramKey]tally.Histogram),
		endpoints:  make(map[endpointKey]tally.Gauge),
		gauges:     make(map[string]int),
	}
}

// sanitizer keeps "-" and "." in label values. The default options replace "-" by "_",
// so that the accounts a-b and a_b would share a label value.
func sanitizer() *tally.SanitizeOptions {
	opts := prometheus.DefaultSanitizerOpts
	opts.ValueCharacters = tally.ValidCharacters{
		Ranges:     []tally.SanitizeRange{{'a', 'z'}, {'A', 'Z'}, {'0', '9'}},
		Characters: []rune("._-"),
	}
	return &opts
}

// Handler returns the HTTP handler of the metrics page.
func (m *Metrics) Handler() http.Handler {
	return m.reporter.HTTPHandler()
}

// Close reports the final values and stops reporting.
func (m *Metrics) Close() error {
	if err := m.closer.Close(); err != nil {
		return fmt.Errorf("operator: close metrics: %w", err)
	}
	return nil
}

// accountLabel returns the label value of an account, which is "none" for the empty
// account. The caller must hold m.mu.
func (m *Metrics) accountLabel(a id.Account) string {
	if a == "" {
		return "none"
	}
	if m.accounts[a] {
		return string(a)
	}
	if len(m.accounts) >= maxAccounts {
		return otherAccounts
	}
	m.accounts[a] = true
	return string(a)
}

// Count adds e.N to a counter, which is created on first use.
func (m *Metrics) Count(e core.Count) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := counterKey{name: e.Name, account: m.accountLabel(e.Account), code: e.Code}
	if rank, ok := e.Level.Rank(); ok {
		key.level = strconv.Itoa(rank)
	}
	c, ok := m.counters[key]
	if !ok {
		tags := map[string]string{"account": key.account, "code": key.code}
		if key.level != "" {
			tags["level"] = key.level
		}
		c = m.scope.Tagged(tags).Counter(e.Name)
		m.counters[key] = c
	}
	c.Inc(e.N)
}

// Observe records a duration in a histogram, which is created on first use.
func (m *Metrics) Observe(e core.Observe) {
	m.mu.Lock()
	defer m.mu.Unlock()
	key := histogramKey{e.Name, m.accountLabel(e.Account)}
	h, ok := m.histograms[key]
	if !ok {
		tags := map[string]string{"account": key.account}
		h = m.scope.Tagged(tags).Histogram(e.Name, latencyBuckets)
		m.histograms[key] = h
	}
	h.RecordDuration(e.Value)
}

// Label is a label of a gauge.
type Label struct {
	Name, Value string
}

// Gauge sets a gauge, which is created on first use. All calls for one name must have the
// same label names.
func (m *Metrics) Gauge(name string, v float64, labels ...Label) {
	scope := m.scope
	if len(labels) > 0 {
		tags := make(map[string]string, len(labels))
		for _, l := range labels {
			tags[l.Name] = l.Value
		}
		scope = scope.Tagged(tags)
	}
	scope.Gauge(name).Update(v)
}

// EndpointGauge sets a gauge of one endpoint, which is created on first use.
func (m *Metrics) EndpointGauge(e core.EndpointGauge) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if g, ok := m.endpointGauge(endpointKey{e.Name, e.Endpoint}); ok {
		g.Update(e.Value)
	}
}

// EndpointGauges sets a gauge of endpoints, and sets it to 0 for all others that have had one.
func (m *Metrics) EndpointGauges(name string, values []EndpointValue) {
	m.mu.Lock()
	defer m.mu.Unlock()
	seen := make(map[id.Endpoint]bool, len(values))
	for _, v := range values {
		seen[v.Endpoint] = true
		if g, ok := m.endpointGauge(endpointKey{name, v.Endpoint}); ok {
			g.Update(v.Value)
		}
	}
	for key, g := range m.endpoints {
		if key.name == name && !seen[key.endpoint] {
			g.Update(0)
		}
	}
}

// endpointGauge returns a gauge, which is created on first use, and false if there are too many.
// The caller must hold m.mu.
func (m *Metrics) endpointGauge(key endpointKey) (tally.Gauge, bool) {
	if g, ok := m.endpoints[key]; ok {
		return g, true
	}
	if m.gauges[key.name] >= maxEndpoints {
		return nil, false
	}
	m.gauges[key.name]++
	g := m.scope.Tagged(map[string]string{"endpoint": string(key.endpoint)}).Gauge(key.name)
	m.endpoints[key] = g
	return g, true
}
