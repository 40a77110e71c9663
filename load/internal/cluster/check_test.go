package cluster_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/load/internal/caller"
	"ragwortshunt.example/load/internal/cluster"
	"ragwortshunt.example/load/internal/runner"
	"ragwortshunt.example/load/internal/workload"
)

var (
	epoch      = time.Unix(1000, 0)
	completion = &workload.Flow{Name: "m", Account: "shop", Kind: workload.KindCompletion}
	service    = &workload.Flow{Name: "s", Account: "shop", Kind: workload.KindService}
)

// at returns the time that is so many seconds after epoch.
func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

// outcome returns the outcome of a request with times in seconds after epoch.
func outcome(f *workload.Flow, id string, status caller.Status, notRun bool, sent, ended float64) runner.Outcome {
	return runner.Outcome{
		Request: workload.Request{Flow: f, IdempotencyKey: "k-" + id},
		Result:  caller.Result{Status: status, RequestID: id, NotRun: notRun},
		Sent:    at(sent),
		Ended:   at(ended),
	}
}

// run returns a decode run with times in seconds after epoch.
func run(id, endpoint, outcome string, start, end float64) cluster.Run {
	return cluster.Run{
		Request: id, Attempt: 1, Endpoint: endpoint, Role: "decode", Outcome: outcome,
		Start: at(start), End: at(end), PromptTokens: 60, OutputTokens: 40,
	}
}

// Guards against checks that miss a violation or report one where there is none.
func TestChecksFind(t *testing.T) {
	completed := []runner.Outcome{outcome(completion, "r1", caller.Whole, false, 0, 2)}
	refused := []runner.Outcome{outcome(completion, "r1", caller.Refused, true, 0, 2)}
	serviceCall := []runner.Outcome{outcome(service, "r1", caller.Whole, false, 0, 2)}
	execution := cluster.Execution{Service: "s1", Request: "r1", IdempotencyKey: "k-r1"}
	finished := cluster.Records{Runs: []cluster.Run{run("r1", "e1", "finished", 1, 2)}}
	unfinished := cluster.Records{Runs: []cluster.Run{run("r1", "e1", "", 1, 1)}}
	orphaned := cluster.Records{Runs: []cluster.Run{run("r1", "e1", "orphaned", 1, 2)}}
	for _, test := range []struct {
		name  string
		found []string
		want  int
	}{
		{"executed once", cluster.CheckExecutedOnce(serviceCall, cluster.Records{Executions: []cluster.Execution{execution}}), 0},
		{"executed twice", cluster.CheckExecutedOnce(serviceCall, cluster.Records{Executions: []cluster.Execution{execution, execution}}), 1},
		{"reply without an execution", cluster.CheckExecutedOnce(serviceCall, cluster.Records{}), 1},
		{"complete answer has a run", cluster.CheckNotRun(completed, finished), 0},
		{"refused as not run, but has a run", cluster.CheckNotRun(refused, finished), 1},
		{"refused as not run, but was executed", cluster.CheckNotRun(refused, cluster.Records{Executions: []cluster.Execution{execution}}), 1},
		{"run has ended", cluster.CheckNothingHeld(finished), 0},
		{"run has not ended", cluster.CheckNothingHeld(unfinished), 1},
		{"run was orphaned", cluster.CheckNoOrphans(orphaned), 1},
		{"ended soon after the key was withdrawn", cluster.CheckWithdrawnKey("shop", at(0), 3*time.Second, completed, finished), 0},
		{"answer and run long after the key was withdrawn", cluster.CheckWithdrawnKey("shop", at(0), time.Second, completed, finished), 2},
		{"refused after the key was withdrawn", cluster.CheckWithdrawnKey("shop", at(0), time.Second, refused, cluster.Records{}), 0},
		{"no key in the texts", cluster.CheckSecrets([]string{"secret"}, cluster.Records{Searched: 1}, map[string]string{"log": "text"}), 0},
		{"key in a log", cluster.CheckSecrets([]string{"secret"}, cluster.Records{Searched: 1}, map[string]string{"log": "a secret"}), 1},
		{"nothing searched", cluster.CheckSecrets(nil, cluster.Records{}), 1},
	} {
		assert.Equal(t, len(test.found), test.want, "%s: %v", test.name, test.found)
	}
}

// Guards against a rate limit check that misses an excess within a short period, or
// reports one for tokens that were charged long before the run, while the request was
// queued.
func TestExceeded(t *testing.T) {
	limit := cluster.Limit{Rate: 100, Burst: 150}
	for _, test := range []struct {
		name      string
		sent      []float64
		wantFound bool
	}{
		{"within burst", []float64{0.9}, false},
		{"above burst", []float64{0.9, 0.95}, true},
		{"charged long before the run", []float64{0, 0.9}, false},
		{"above rate", []float64{0, 0.1, 0.2}, true},
	} {
		var outcomes []runner.Outcome
		var r cluster.Records
		for i, sent := range test.sent {
			id := string(rune('a' + i))
			outcomes = append(outcomes, outcome(completion, id, caller.Whole, false, sent, 3))
			r.Runs = append(r.Runs, run(id, "e1", "finished", 1, 2))
		}
		found := cluster.CheckLimits(map[string]cluster.Limit{"shop": limit}, outcomes, r)
		assert.Equal(t, len(found) > 0, test.wantFound, "%s: %v", test.name, found)
	}
}
