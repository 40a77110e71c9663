package cluster_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/load/internal/caller"
	"ragwortshunt.example/load/internal/cluster"
	"ragwortshunt.example/load/internal/runner"
)

// The bounds of the design page, as times after the cause.
const (
	keyBound     = 5 * time.Second  // a withdrawn key stops working
	leavingBound = 2 * time.Second  // a leaving endpoint gets no new work
	tableBound   = 9 * time.Second  // a table is in force everywhere
	heldBound    = 20 * time.Second // no engine memory is held for an ended request
	// stopBound allows for the longest answer of the load, 512 tokens of 20 ms, to be
	// queued and produced twice.
	stopBound = 30 * time.Second
)

const (
	root      = "../../.."
	loadFile  = "testdata/load.ini"
	buildTime = 5 * time.Minute
)

var programs string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	if testing.Short() {
		return m.Run()
	}
	dir, err := os.MkdirTemp("", "ragwort-programs-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	ctx, cancel := context.WithTimeout(context.Background(), buildTime)
	defer cancel()
	if err := cluster.Build(ctx, root, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programs = dir
	return m.Run()
}

// world is a cluster under load.
type world struct {
	*cluster.Cluster
	t       *testing.T
	load    *cluster.Load
	secrets []string
	extra   []runner.Outcome // of loads beside the main one
}

func start(t *testing.T, cfg cluster.Config, duration time.Duration) *world {
	if testing.Short() {
		t.Skip("starts many processes")
	}
	t.Parallel()
	dir, err := os.MkdirTemp("", "ragwort-cluster-")
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("settings and logs are kept in %s", dir)
			return
		}
		assert.Check(t, os.RemoveAll(dir))
	})
	cfg.Root, cfg.Programs, cfg.Dir = root, programs, dir
	c, err := cluster.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, c.Close()) })
	w := &world{Cluster: c, t: t}
	w.secrets, err = c.Secrets()
	assert.NilError(t, err)
	w.load, err = c.StartLoad(loadFile, duration, 1)
	assert.NilError(t, err)
	t.Cleanup(w.load.Stop)
	return w
}

func (w *world) do(err error) {
	w.t.Helper()
	assert.NilError(w.t, err)
}

func (w *world) empty(what string, found []string) {
	w.t.Helper()
	assert.Check(w.t, len(found) == 0, "%s:\n%s", what, strings.Join(found, "\n"))
}

// records waits until no run is held any more, up to the bound, and returns what
// the stand-ins recorded.
func (w *world) records() cluster.Records {
	deadline := time.Now().Add(heldBound)
	for {
		r, err := w.Records(w.secrets)
		w.do(err)
		held := cluster.CheckEnded(r)
		if len(held) == 0 {
			return r
		}
		if time.Now().After(deadline) {
			w.empty("held after the load", held)
			return r
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// finish waits for the end of the load, checks what must hold in every case and
// shuts the routers down.
func (w *world) finish(excused func(o runner.Outcome) bool) ([]runner.Outcome, cluster.Records) {
	outcomes := w.load.Wait()
	w.t.Log(cluster.Summary(outcomes))
	w.empty("answers", w.CheckAnswers(outcomes, excused))
	w.empty("answers of the extra load", w.CheckAnswers(w.extra, isStopped))
	outcomes = append(outcomes, w.extra...)
	r := w.records()
	metrics, err := w.Metrics()
	w.do(err)
	w.do(w.WaitSame(tableBound))
	assert.Check(w.t, w.Shutdown(stopBound))
	output, err := w.RouterOutput()
	w.do(err)
	w.empty("executions", cluster.CheckSingle(outcomes, r))
	w.empty("not-run", cluster.CheckNotRun(outcomes, r))
	w.empty("keys", cluster.CheckSecrets(w.secrets, r, metrics, output))
	tokens, err := w.CheckTokens(outcomes, r)
	w.do(err)
	w.empty("tokens", tokens)
	w.served(outcomes)
	return outcomes, r
}

// hangUp sends a second load, whose callers all go away at the end.
func (w *world) hangUp(duration time.Duration) {
	l, err := w.StartLoad(loadFile, duration, 2)
	w.do(err)
	l.Until(duration)
	l.Stop()
	w.extra = l.Wait()
}

func none(runner.Outcome) bool { return false }

func isStopped(o runner.Outcome) bool { return o.Result.Status == caller.Stopped }

// served makes sure that the checks had something to check.
func (w *world) served(outcomes []runner.Outcome) {
	for _, account := range []string{"kask-rent", "rebane-prams", "ilves-city", "city-support", "rack-public"} {
		n := cluster.Count(outcomes, func(o runner.Outcome) bool {
			return o.Request.Flow.Account == account && o.Result.Status == caller.Whole
		})
		assert.Check(w.t, n > 0, "no whole answer for account %s", account)
	}
	limited := cluster.Count(outcomes, func(o runner.Outcome) bool {
		return o.Request.Flow.Account == "rack-public" && o.Result.Code == "rate-limited"
	})
	assert.Check(w.t, limited > 0, "no request was above the rate")
}

// Guards against answers that are cut, doubled or lost, calls that run twice and
// rates that are exceeded when a router and engines are killed, a router is
// frozen past its leases, and the platform loses replies and fails.
func TestCrashes(t *testing.T) {
	w := start(t, cluster.Config{HostsPerZone: 3, Alone: []string{"engine-a-1", "engine-b-3"}}, 28*time.Second)
	victim := w.URL("tallinn-b-1") // schedules the cell of its zone
	w.do(w.Switch(cluster.Fault{Target: "rack-a", Kind: cluster.FaultDropReply, Value: 0.3}))
	w.do(w.Switch(cluster.Fault{Target: "engine-a-3", Kind: cluster.FaultDuplicateChunks}))
	w.do(w.Switch(cluster.Fault{Target: "engine-c-3", Kind: cluster.FaultReorderChunks}))
	w.do(w.Switch(cluster.Fault{Target: "engine-c-4", Kind: cluster.FaultBreakStream, Value: 20}))

	w.load.Until(4 * time.Second)
	w.do(w.Router("tallinn-b-1").Kill())
	w.do(w.KillEndpoint("engine-a-1", w.secrets))
	w.do(w.KillEndpoint("engine-b-3", w.secrets))

	w.load.Until(8 * time.Second)
	w.do(w.Router("tallinn-c-1").Pause())
	time.Sleep(cluster.ReserveLease + time.Second)
	w.do(w.Router("tallinn-c-1").Resume())

	w.load.Until(17 * time.Second)
	w.do(w.Switch(cluster.Fault{Target: cluster.TargetPlatform, Kind: cluster.FaultLostReply, Value: 0.5}))
	w.load.Until(20 * time.Second)
	w.do(w.Switch(cluster.Fault{Target: cluster.TargetPlatform, Kind: cluster.FaultOutage}))
	w.load.Until(24 * time.Second)
	w.do(w.Switch(cluster.Fault{Target: cluster.TargetPlatform, Kind: cluster.FaultClear}))

	outcomes, _ := w.finish(func(o runner.Outcome) bool {
		return o.Result.Status == caller.Broken && o.Result.Router == victim
	})
	unknown := cluster.Count(outcomes, func(o runner.Outcome) bool { return o.Result.Code == "outcome-unknown" })
	assert.Check(t, unknown > 0, "no call was repeated after its reply was lost")
}

// Guards against a zone that serves nothing while it is cut off, or does not
// return to the others' table, against rates that are exceeded by zones that do
// not know of each other, and against runs that go on without their caller.
func TestPartition(t *testing.T) {
	w := start(t, cluster.Config{HostsPerZone: 3, Relays: true}, 24*time.Second)
	inZone := func(o runner.Outcome) bool { return strings.HasPrefix(o.Result.RequestID, "tallinn-a-") }

	w.load.Until(4 * time.Second)
	before, err := w.Version("tallinn-a-1")
	w.do(err)
	w.do(w.Switch(cluster.Fault{Target: "tallinn-a", Kind: cluster.FaultCut}))
	cut := time.Now()
	w.load.Until(6 * time.Second)
	_, err = w.Apply(func(t *cluster.Table) { t.SetState("endpoint", "engine-b-1", "leaving") })
	w.do(err)
	w.load.Until(12 * time.Second)
	during, err := w.Version("tallinn-a-1")
	w.do(err)
	assert.Check(t, during == before, "the zone is not cut off: version %d came in", during)
	w.do(w.Switch(cluster.Fault{Kind: cluster.FaultClear}))
	healed := time.Now()
	w.do(w.WaitSame(tableBound))

	w.load.Wait()
	w.hangUp(2 * time.Second)
	outcomes, r := w.finish(none)
	w.empty("cancelled", cluster.CheckCancelled(r))
	assert.Check(t, cluster.Count(outcomes, isStopped) > 0, "no caller was gone before the end of its answer")
	whole := func(from, to time.Time) int {
		return cluster.Count(outcomes, func(o runner.Outcome) bool {
			return inZone(o) && o.Result.Status == caller.Whole && o.Sent.After(from) && o.Sent.Before(to)
		})
	}
	assert.Check(t, whole(cut, cut.Add(cluster.ReserveLease)) > 0, "the zone served nothing while it was cut off")
	assert.Check(t, whole(healed.Add(tableBound), time.Now()) > 0, "the zone served nothing after it was healed")
}

// Guards against requests that a graceful shutdown cuts, work for endpoints that
// are leaving, and service for keys that were withdrawn.
func TestChanges(t *testing.T) {
	w := start(t, cluster.Config{HostsPerZone: 2}, 24*time.Second)
	leaving := []string{"engine-b-3", "engine-c-1"}

	w.load.Until(4 * time.Second)
	left, err := w.Apply(func(t *cluster.Table) {
		for _, name := range leaving {
			t.SetState("endpoint", name, "leaving")
		}
	})
	w.do(err)

	w.load.Until(9 * time.Second)
	stopped := make(chan error, 1)
	go func() { stopped <- w.Router("tallinn-a-2").Terminate(stopBound) }()

	w.load.Until(12 * time.Second)
	withdrawn, err := w.Apply(func(t *cluster.Table) { t.SetState("key", "ilves-city-1", "withdrawn") })
	w.do(err)

	assert.Check(t, <-stopped)
	outcomes, r := w.finish(func(o runner.Outcome) bool {
		codes := []string{"key-withdrawn", "unauthorized"}
		return o.Request.Flow.Account == "ilves-city" && o.Result.Status == caller.Broken && slices.Contains(codes, o.Result.Code)
	})
	for _, name := range leaving {
		found, err := w.CheckLeaving(name, left, leavingBound, r)
		w.do(err)
		w.empty("leaving", found)
	}
	w.empty("cancelled", cluster.CheckCancelled(r))
	w.empty("withdrawn", cluster.CheckWithdrawn("ilves-city", withdrawn, keyBound, outcomes, r))
	cut := cluster.Count(outcomes, func(o runner.Outcome) bool {
		return o.Request.Flow.Account == "ilves-city" && o.Result.Status == caller.Broken
	})
	assert.Check(t, cut > 0, "no stream was running when the key was withdrawn")
}
