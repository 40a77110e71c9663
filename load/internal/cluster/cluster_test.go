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

// Maximum delays between a cause and its effect, from the design page.
const (
	keyBound     = 5 * time.Second  // a withdrawn API key stops working
	leavingBound = 2 * time.Second  // a leaving endpoint gets no new work
	tableBound   = 9 * time.Second  // all routers use an applied table
	releaseBound = 20 * time.Second // engines release the memory of an ended request
	// shutdownBound allows for the longest answer of the load, 512 tokens of 20 ms
	// each, to be queued and generated twice.
	shutdownBound = 30 * time.Second
)

const (
	root         = "../../.."
	loadFile     = "testdata/load.ini"
	buildTimeout = 5 * time.Minute
)

// programDir is the directory of the programs under test; empty with -short.
var programDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, unless -short is set, and runs the tests.
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
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	if err := cluster.Build(ctx, root, dir); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	programDir = dir
	return m.Run()
}

// loadedCluster is a running cluster under load, with test assertions.
type loadedCluster struct {
	*cluster.Cluster
	t       *testing.T
	load    *cluster.Load
	secrets []string // secret parts of the API keys
	// abortedOutcomes are the outcomes of the load whose callers disconnect early.
	abortedOutcomes []runner.Outcome
}

// start starts a cluster and a load of the given duration. The test runs in parallel with
// the others. If it fails, the directory with settings and logs is kept.
func start(t *testing.T, cfg cluster.Config, duration time.Duration) *loadedCluster {
	if testing.Short() {
		t.Skip("starts many processes")
	}
	t.Parallel()
	dir, err := os.MkdirTemp("", "ragwort-cluster-")
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("settings and logs are in %s", dir)
			return
		}
		assert.Check(t, os.RemoveAll(dir))
	})
	cfg.Root, cfg.Programs, cfg.Dir = root, programDir, dir
	c, err := cluster.Start(cfg)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.Check(t, c.Close()) })
	lc := &loadedCluster{Cluster: c, t: t}
	lc.secrets, err = c.Secrets()
	assert.NilError(t, err)
	lc.load, err = c.StartLoad(loadFile, duration, 1)
	assert.NilError(t, err)
	t.Cleanup(lc.load.Stop)
	return lc
}

// noError ends the test if err is not nil.
func (lc *loadedCluster) noError(err error) {
	lc.t.Helper()
	assert.NilError(lc.t, err)
}

// noFindings marks the test as failed if a check has findings.
func (lc *loadedCluster) noFindings(check string, found []string) {
	lc.t.Helper()
	assert.Check(lc.t, len(found) == 0, "%s:\n%s", check, strings.Join(found, "\n"))
}

// waitReleased waits until all runs have ended and no KV cache is held, at most
// releaseBound, and returns the records of the stand-ins.
func (lc *loadedCluster) waitReleased() cluster.Records {
	deadline := time.Now().Add(releaseBound)
	for {
		r, err := lc.Records(lc.secrets)
		lc.noError(err)
		held := cluster.CheckNothingHeld(r)
		if len(held) == 0 {
			return r
		}
		if time.Now().After(deadline) {
			lc.noFindings("runs and KV caches not released after the load", held)
			return r
		}
		time.Sleep(500 * time.Millisecond)
	}
}

// finish waits for the end of the load, checks the invariants that hold in every test and
// shuts the routers down. excused reports the requests that may end without a complete
// answer.
func (lc *loadedCluster) finish(excused func(o runner.Outcome) bool) ([]runner.Outcome, cluster.Records) {
	outcomes := lc.load.Wait()
	lc.t.Log(cluster.Summary(outcomes))
	lc.noFindings("answers", lc.CheckAnswers(outcomes, excused))
	lc.noFindings("answers of the aborted load", lc.CheckAnswers(lc.abortedOutcomes, isStopped))
	outcomes = append(outcomes, lc.abortedOutcomes...)
	r := lc.waitReleased()
	metrics, err := lc.Metrics()
	lc.noError(err)
	lc.noError(lc.WaitSameTable(tableBound))
	assert.Check(lc.t, lc.Shutdown(shutdownBound))
	output, err := lc.RouterOutput()
	lc.noError(err)
	lc.noFindings("executed once", cluster.CheckExecutedOnce(outcomes, r))
	lc.noFindings("refused as not run", cluster.CheckNotRun(outcomes, r))
	lc.noFindings("leaked API keys", cluster.CheckSecrets(lc.secrets, r, metrics, output))
	excesses, err := lc.CheckTableLimits(outcomes, r)
	lc.noError(err)
	lc.noFindings("rate limits", excesses)
	lc.checkCoverage(outcomes)
	return outcomes, r
}

// runAbortedLoad runs a second load, whose callers all disconnect at its end.
func (lc *loadedCluster) runAbortedLoad(duration time.Duration) {
	l, err := lc.StartLoad(loadFile, duration, 2)
	lc.noError(err)
	l.WaitUntil(duration)
	l.Stop()
	lc.abortedOutcomes = l.Wait()
}

// noneExcused excuses no request in finish.
func noneExcused(runner.Outcome) bool { return false }

func isStopped(o runner.Outcome) bool { return o.Result.Status == caller.Stopped }

// checkCoverage verifies that the load exercised the checked behavior: each account got a
// complete answer and the rate limit refused a request.
func (lc *loadedCluster) checkCoverage(outcomes []runner.Outcome) {
	for _, account := range []string{"kask-rent", "rebane-prams", "ilves-city", "city-support", "rack-public"} {
		n := cluster.Count(outcomes, func(o runner.Outcome) bool {
			return o.Request.Flow.Account == account && o.Result.Status == caller.Whole
		})
		assert.Check(lc.t, n > 0, "no complete answer for account %s", account)
	}
	limited := cluster.Count(outcomes, func(o runner.Outcome) bool {
		return o.Request.Flow.Account == "rack-public" && o.Result.Code == "rate-limited"
	})
	assert.Check(lc.t, limited > 0, "no request exceeded the rate limit")
}

// Guards against answers that are truncated, duplicated or lost, service calls that are
// executed twice and rate limits that are exceeded. The test kills a router and two
// engines, suspends a router until its leases have expired, makes a service and the
// platform lose replies, breaks, duplicates and reorders chunks of streams, and takes
// the platform down.
func TestCrashes(t *testing.T) {
	lc := start(t, cluster.Config{HostsPerZone: 3, DedicatedEndpoints: []string{"engine-a-1", "engine-b-3"}}, 28*time.Second)
	killedURL := lc.URL("tallinn-b-1") // the scheduler of its zone's cell
	lc.noError(lc.SetFault(cluster.Fault{Target: "rack-a", Kind: cluster.FaultDropReply, Value: 0.3}))
	lc.noError(lc.SetFault(cluster.Fault{Target: "engine-a-3", Kind: cluster.FaultDuplicateChunks}))
	lc.noError(lc.SetFault(cluster.Fault{Target: "engine-c-3", Kind: cluster.FaultReorderChunks}))
	lc.noError(lc.SetFault(cluster.Fault{Target: "engine-c-4", Kind: cluster.FaultBreakStream, Value: 20}))

	lc.load.WaitUntil(4 * time.Second)
	lc.noError(lc.Router("tallinn-b-1").Kill())
	lc.noError(lc.KillEndpoint("engine-a-1", lc.secrets))
	lc.noError(lc.KillEndpoint("engine-b-3", lc.secrets))

	lc.load.WaitUntil(8 * time.Second)
	lc.noError(lc.Router("tallinn-c-1").Pause())
	time.Sleep(cluster.ReserveLease + time.Second)
	lc.noError(lc.Router("tallinn-c-1").Resume())

	lc.load.WaitUntil(17 * time.Second)
	lc.noError(lc.SetFault(cluster.Fault{Target: cluster.TargetPlatform, Kind: cluster.FaultLostReply, Value: 0.5}))
	lc.load.WaitUntil(20 * time.Second)
	lc.noError(lc.SetFault(cluster.Fault{Target: cluster.TargetPlatform, Kind: cluster.FaultOutage}))
	lc.load.WaitUntil(24 * time.Second)
	lc.noError(lc.SetFault(cluster.Fault{Target: cluster.TargetPlatform, Kind: cluster.FaultClear}))

	outcomes, _ := lc.finish(func(o runner.Outcome) bool {
		return o.Result.Status == caller.Broken && o.Result.Router == killedURL
	})
	unknownOutcomes := cluster.Count(outcomes, func(o runner.Outcome) bool { return o.Result.Code == "outcome-unknown" })
	assert.Check(t, unknownOutcomes > 0, "no service call had an unknown outcome after its reply was lost")
}

// Guards against a zone that serves no requests while it is partitioned or that does not
// converge to the other zones' table afterwards, against rate limits that are exceeded
// because partitioned zones grant tokens independently, and against runs that continue
// after their caller has disconnected.
func TestPartition(t *testing.T) {
	lc := start(t, cluster.Config{HostsPerZone: 3, Relays: true}, 24*time.Second)
	inZone := func(o runner.Outcome) bool { return strings.HasPrefix(o.Result.RequestID, "tallinn-a-") }

	lc.load.WaitUntil(4 * time.Second)
	versionBefore, err := lc.TableVersion("tallinn-a-1")
	lc.noError(err)
	lc.noError(lc.SetFault(cluster.Fault{Target: "tallinn-a", Kind: cluster.FaultZonePartition}))
	partitionedAt := time.Now()
	lc.load.WaitUntil(6 * time.Second)
	_, err = lc.ApplyTable(func(t *cluster.Table) { t.SetState("endpoint", "engine-b-1", "leaving") })
	lc.noError(err)
	lc.load.WaitUntil(12 * time.Second)
	versionDuring, err := lc.TableVersion("tallinn-a-1")
	lc.noError(err)
	assert.Check(t, versionDuring == versionBefore, "the zone is not partitioned: it received table version %d", versionDuring)
	lc.noError(lc.SetFault(cluster.Fault{Kind: cluster.FaultClear}))
	healedAt := time.Now()
	lc.noError(lc.WaitSameTable(tableBound))

	lc.load.Wait()
	lc.runAbortedLoad(2 * time.Second)
	outcomes, r := lc.finish(noneExcused)
	lc.noFindings("orphaned runs", cluster.CheckNoOrphans(r))
	assert.Check(t, cluster.Count(outcomes, isStopped) > 0, "no caller disconnected before the end of its answer")
	completeAnswers := func(from, to time.Time) int {
		return cluster.Count(outcomes, func(o runner.Outcome) bool {
			return inZone(o) && o.Result.Status == caller.Whole && o.Sent.After(from) && o.Sent.Before(to)
		})
	}
	assert.Check(t, completeAnswers(partitionedAt, partitionedAt.Add(cluster.ReserveLease)) > 0, "the zone served no request while it was partitioned")
	assert.Check(t, completeAnswers(healedAt.Add(tableBound), time.Now()) > 0, "the zone served no request after the partition was healed")
}

// Guards against a graceful shutdown that breaks off requests, against new work on
// endpoints whose state is leaving, and against requests that are still served after
// their API key was withdrawn.
func TestChanges(t *testing.T) {
	lc := start(t, cluster.Config{HostsPerZone: 2}, 24*time.Second)
	leaving := []string{"engine-b-3", "engine-c-1"}

	lc.load.WaitUntil(4 * time.Second)
	leavingAt, err := lc.ApplyTable(func(t *cluster.Table) {
		for _, name := range leaving {
			t.SetState("endpoint", name, "leaving")
		}
	})
	lc.noError(err)

	lc.load.WaitUntil(9 * time.Second)
	terminated := make(chan error, 1)
	go func() { terminated <- lc.Router("tallinn-a-2").Terminate(shutdownBound) }()

	lc.load.WaitUntil(12 * time.Second)
	withdrawnAt, err := lc.ApplyTable(func(t *cluster.Table) { t.SetState("key", "ilves-city-1", "withdrawn") })
	lc.noError(err)

	assert.Check(t, <-terminated)
	outcomes, r := lc.finish(func(o runner.Outcome) bool {
		codes := []string{"key-withdrawn", "unauthorized"}
		return o.Request.Flow.Account == "ilves-city" && o.Result.Status == caller.Broken && slices.Contains(codes, o.Result.Code)
	})
	for _, name := range leaving {
		found, err := lc.CheckLeavingEndpoint(name, leavingAt, leavingBound, r)
		lc.noError(err)
		lc.noFindings("leaving endpoint", found)
	}
	lc.noFindings("orphaned runs", cluster.CheckNoOrphans(r))
	lc.noFindings("withdrawn key", cluster.CheckWithdrawnKey("ilves-city", withdrawnAt, keyBound, outcomes, r))
	broken := cluster.Count(outcomes, func(o runner.Outcome) bool {
		return o.Request.Flow.Account == "ilves-city" && o.Result.Status == caller.Broken
	})
	assert.Check(t, broken > 0, "no stream was in progress when the key was withdrawn")
}
