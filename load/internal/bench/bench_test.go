package bench_test

import (
	"bytes"
	"context"
	"encoding/json"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/fake"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
	"ragwortshunt.example/load/internal/bench"
	"ragwortshunt.example/load/traces"
)

func testTable() *table.Snapshot {
	return &table.Snapshot{
		Accounts: map[id.Account]table.Account{
			"a": {Name: "a", Weight: 1, Rate: 100_000, Burst: 100_000},
			"b": {Name: "b", Weight: 3, Rate: 1000, Burst: 4000},
		},
		Routes: map[id.Route]table.Route{
			"r": {FirstToken: time.Second, BetweenTokens: 50 * time.Millisecond},
		},
	}
}

// call returns a completed call with 11 output tokens.
func call(account id.Account, at, first, gap time.Duration, prompt int64) fake.Call {
	sent := fake.Start.Add(at)
	return fake.Call{
		Account: account, Route: "r", Prompt: prompt, OutputLimit: 11, NaturalOutput: 11, Received: 11,
		Sent: sent, First: sent.Add(first), Last: sent.Add(first + 10*gap), Result: fake.ResultComplete,
	}
}

// Guards against measures that deviate from their definitions, with calls whose
// values can be computed by hand.
func TestMeasures(t *testing.T) {
	const ms = time.Millisecond
	late := call("a", 0, 1001*ms, 20*ms, 2000)
	slow := call("a", 0, 900*ms, 51*ms, 2000)
	refused := call("b", time.Second, 0, 0, 1000)
	refused.Result, refused.Code = fake.ResultRefused, "too-late"
	over := call("b", 2*time.Second, 0, 0, 3950) // costs 3961 tokens, more than the bucket of the account holds
	over.Result, over.Code = fake.ResultRefused, "rate-limited"
	calls := []fake.Call{
		late, slow, call("a", 0, time.Second, 50*ms, 6000), call("b", 500*ms, 10*ms, 20*ms, 1000), refused, over,
	}
	r := bench.Measure(calls, testTable())
	assert.Equal(t, r.Sent, 6)
	assert.Equal(t, r.Good, 2)
	assert.Equal(t, r.InRate, 5)
	assert.Equal(t, r.RefusedInRate, 1)
	assert.Equal(t, r.RefusalsByCode["too-late"], 1)
	assert.Equal(t, r.MissedByCause["first-token:r"], 1)
	assert.Equal(t, r.MissedByCause["between-tokens"], 1)
	assert.Equal(t, r.Bottleneck, "prefill")
	assert.Equal(t, r.GoodPerSecond, 0.2)
	assert.Equal(t, r.GoodTokensPerSecond, (6011.0+1011.0)/10)
	// Account a offers 10000 tokens of work and b 2000, which is below its weighted
	// share of 7500.
	assert.Equal(t, r.Accounts[0].FairShare, 8000.0)
	assert.Equal(t, r.Accounts[1].FairShare, 2000.0)
	assert.Equal(t, r.WorstAccount, id.Account("b"))
	assert.Equal(t, r.WorstShare, 0.5)
}

// Guards against fair shares that exceed the demand of an account, and against a
// remainder that is not divided by weight.
func TestMaxMin(t *testing.T) {
	got := bench.MaxMin([]float64{100, 5, 100, 0}, []float64{1, 1, 3, 2}, 45)
	want := []float64{10, 5, 30, 0}
	for i := range want {
		assert.Assert(t, math.Abs(got[i]-want[i]) < 1e-9, "%v", got)
	}
}

// Guards against embedded traces that are invalid, have no load on one of the
// deployments, or have faults without a target there.
func TestTraces(t *testing.T) {
	for _, name := range traces.Names() {
		trace, err := bench.LoadTrace(name)
		assert.NilError(t, err)
		for _, d := range bench.Deployments() {
			assert.Assert(t, bench.Arrivals(trace, d.Name, 1) > 100, "%s, %s", name, d.Name)
			sim, err := fake.New(d.Config(1))
			assert.NilError(t, err)
			assert.NilError(t, bench.Inject(trace, d, sim))
		}
	}
	_, err := bench.ParseTrace("bad.ini", []byte("[trace]\nduration-s = 5\n[flow f]\nspeed = 3\n"))
	assert.ErrorContains(t, err, "bad.ini:4")
	_, err = bench.LoadTrace("no-such-trace")
	assert.ErrorContains(t, err, "no-such-trace")
}

const smallTrace = `
[trace]
duration-s = 4

[flow f]
account = large-1
requests-per-s = 20
prompt-low = 100
prompt-high = 400
output-low = 10
output-high = 30
limit = 40
prefixes = 2
shared-tokens = 50

[fault engine]
kind = kill-endpoint
target = a-prefill-1
at-s = 1
for-s = 2
`

// Guards against missing rows or files when a trace file from outside the
// repository is run, and against runs that are not deterministic: a second run
// must give the same report.
func TestCommand(t *testing.T) {
	path := filepath.Join(t.TempDir(), "small.ini")
	assert.NilError(t, os.WriteFile(path, []byte(smallTrace), 0o600))
	var reports [2][]byte
	for i := range reports {
		var text bytes.Buffer
		args := bench.Arguments{
			Traces: []string{path}, Deployments: []string{"tallinn"}, Seeds: []uint64{1}, Workers: 4,
			OutputDir: t.TempDir(), Table: &text,
		}
		args.SetQuickDefaults()
		assert.NilError(t, bench.Command(context.Background(), args))
		var err error
		reports[i], err = os.ReadFile(filepath.Join(args.OutputDir, "bench.json"))
		assert.NilError(t, err)
		_, err = os.Stat(filepath.Join(args.OutputDir, "bench-tallinn-good.png"))
		assert.NilError(t, err)
	}
	assert.Equal(t, string(reports[0]), string(reports[1]))
	var report struct{ Rows []bench.Row }
	assert.NilError(t, json.Unmarshal(reports[0], &report))
	assert.Equal(t, len(report.Rows), bench.QuickVariantCount)
	assert.Assert(t, report.Rows[2].GoodShare > 0.9)
}
