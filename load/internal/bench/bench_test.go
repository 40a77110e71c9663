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

// call is an answered call with 11 output tokens.
func call(account id.Account, at, first, gap time.Duration, prompt int64) fake.Call {
	sent := fake.Start.Add(at)
	return fake.Call{
		Account: account, Route: "r", Prompt: prompt, Limit: 11, Want: 11, Received: 11,
		Sent: sent, First: sent.Add(first), Last: sent.Add(first + 10*gap), Result: fake.ResultWhole,
	}
}

// TestMeasures guards the definitions of the measures with calls whose values
// can be computed by hand.
func TestMeasures(t *testing.T) {
	const ms = time.Millisecond
	late := call("a", 0, 1001*ms, 20*ms, 2000)
	slow := call("a", 0, 900*ms, 51*ms, 2000)
	refused := call("b", time.Second, 0, 0, 1000)
	refused.Result, refused.Code = fake.ResultRefused, "too-late"
	over := call("b", 2*time.Second, 0, 0, 3950) // 3961 tokens, of which the account's bucket lacks some
	over.Result, over.Code = fake.ResultRefused, "rate-limited"
	calls := []fake.Call{
		late, slow, call("a", 0, time.Second, 50*ms, 6000), call("b", 500*ms, 10*ms, 20*ms, 1000), refused, over,
	}
	r := bench.Measure(calls, testTable())
	assert.Equal(t, r.Sent, 6)
	assert.Equal(t, r.Good, 2)
	assert.Equal(t, r.InRate, 5)
	assert.Equal(t, r.RefusedInRate, 1)
	assert.Equal(t, r.Refusals["too-late"], 1)
	assert.Equal(t, r.Missed["first-token:r"], 1)
	assert.Equal(t, r.Missed["between-tokens"], 1)
	assert.Equal(t, r.Bottleneck, "prefill")
	assert.Equal(t, r.GoodPerSecond, 0.2)
	assert.Equal(t, r.GoodTokens, (6011.0+1011.0)/10)
	// a offers 10000 tokens and b 2000; b is below its weighted share of 7500.
	assert.Equal(t, r.Accounts[0].Fair, 8000.0)
	assert.Equal(t, r.Accounts[1].Fair, 2000.0)
	assert.Equal(t, r.WorstAccount, id.Account("b"))
	assert.Equal(t, r.WorstShare, 0.5)
}

// TestMaxMin guards the fair shares: demand bounds a share, and the rest is
// divided by weight.
func TestMaxMin(t *testing.T) {
	got := bench.MaxMin([]float64{100, 5, 100, 0}, []float64{1, 1, 3, 2}, 45)
	want := []float64{10, 5, 30, 0}
	for i := range want {
		assert.Assert(t, math.Abs(got[i]-want[i]) < 1e-9, "%v", got)
	}
}

// TestTraces guards the traces of the repository: each is valid, has load on
// both deployments, and its faults have targets.
func TestTraces(t *testing.T) {
	for _, name := range traces.Names() {
		trace, err := bench.LoadTrace(name)
		assert.NilError(t, err)
		for _, d := range bench.Deployments() {
			assert.Assert(t, bench.Arrivals(trace, d.Name, 1) > 100, "%s, %s", name, d.Name)
			w, err := fake.New(d.Config(1))
			assert.NilError(t, err)
			assert.NilError(t, bench.Inject(trace, d, w))
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

// TestCommand guards a whole run of a trace outside the repository: every row
// appears, the files are written, and a second run gives the same report.
func TestCommand(t *testing.T) {
	path := filepath.Join(t.TempDir(), "small.ini")
	assert.NilError(t, os.WriteFile(path, []byte(smallTrace), 0o600))
	var reports [2][]byte
	for i := range reports {
		var text bytes.Buffer
		args := bench.Arguments{
			Traces: []string{path}, Deployments: []string{"tallinn"}, Seeds: []uint64{1}, Workers: 4,
			Out: t.TempDir(), Table: &text,
		}
		args.Quick()
		assert.NilError(t, bench.Command(context.Background(), args))
		var err error
		reports[i], err = os.ReadFile(filepath.Join(args.Out, "bench.json"))
		assert.NilError(t, err)
		_, err = os.Stat(filepath.Join(args.Out, "bench-tallinn-good.png"))
		assert.NilError(t, err)
	}
	assert.Equal(t, string(reports[0]), string(reports[1]))
	var report struct{ Rows []bench.Row }
	assert.NilError(t, json.Unmarshal(reports[0], &report))
	assert.Equal(t, len(report.Rows), bench.QuickVariants)
	assert.Assert(t, report.Rows[2].GoodShare > 0.9)
}
