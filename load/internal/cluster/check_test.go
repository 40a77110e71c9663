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
	epoch   = time.Unix(1000, 0)
	model   = &workload.Flow{Name: "m", Account: "shop", Kind: workload.KindCompletion}
	service = &workload.Flow{Name: "s", Account: "shop", Kind: workload.KindService}
)

func at(seconds float64) time.Time {
	return epoch.Add(time.Duration(seconds * float64(time.Second)))
}

func outcome(f *workload.Flow, id string, status caller.Status, notRun bool, sent, ended float64) runner.Outcome {
	return runner.Outcome{
		Request: workload.Request{Flow: f, IdempotencyKey: "k-" + id},
		Result:  caller.Result{Status: status, RequestID: id, NotRun: notRun},
		Sent:    at(sent),
		Ended:   at(ended),
	}
}

func run(id, endpoint, outcome string, start, end float64) cluster.Run {
	return cluster.Run{
		Request: id, Attempt: 1, Endpoint: endpoint, Role: "decode", Outcome: outcome,
		Start: at(start), End: at(end), PromptTokens: 60, Tokens: 40,
	}
}

// Guards against checks that find nothing whatever happens.
func TestChecksFind(t *testing.T) {
	whole := []runner.Outcome{outcome(model, "r1", caller.Whole, false, 0, 2)}
	refused := []runner.Outcome{outcome(model, "r1", caller.Refused, true, 0, 2)}
	call := []runner.Outcome{outcome(service, "r1", caller.Whole, false, 0, 2)}
	once := cluster.Execution{Service: "s1", Request: "r1", IdempotencyKey: "k-r1"}
	ran := cluster.Records{Runs: []cluster.Run{run("r1", "e1", "finished", 1, 2)}}
	open := cluster.Records{Runs: []cluster.Run{run("r1", "e1", "", 1, 1)}}
	orphan := cluster.Records{Runs: []cluster.Run{run("r1", "e1", "orphaned", 1, 2)}}
	for _, test := range []struct {
		name  string
		found []string
		want  int
	}{
		{"executed once", cluster.CheckSingle(call, cluster.Records{Executions: []cluster.Execution{once}}), 0},
		{"executed twice", cluster.CheckSingle(call, cluster.Records{Executions: []cluster.Execution{once, once}}), 1},
		{"answered without execution", cluster.CheckSingle(call, cluster.Records{}), 1},
		{"whole answer has run", cluster.CheckNotRun(whole, ran), 0},
		{"not run has run", cluster.CheckNotRun(refused, ran), 1},
		{"not run was executed", cluster.CheckNotRun(refused, cluster.Records{Executions: []cluster.Execution{once}}), 1},
		{"run has ended", cluster.CheckEnded(ran), 0},
		{"run is held", cluster.CheckEnded(open), 1},
		{"run was orphaned", cluster.CheckCancelled(orphan), 1},
		{"withdrawn in time", cluster.CheckWithdrawn("shop", at(0), 3*time.Second, whole, ran), 0},
		{"answer and run after withdrawal", cluster.CheckWithdrawn("shop", at(0), time.Second, whole, ran), 2},
		{"refused after withdrawal", cluster.CheckWithdrawn("shop", at(0), time.Second, refused, cluster.Records{}), 0},
		{"no key", cluster.CheckSecrets([]string{"secret"}, cluster.Records{Searched: 1}, map[string]string{"log": "text"}), 0},
		{"key in a log", cluster.CheckSecrets([]string{"secret"}, cluster.Records{Searched: 1}, map[string]string{"log": "a secret"}), 1},
		{"nothing searched", cluster.CheckSecrets(nil, cluster.Records{}), 1},
	} {
		assert.Equal(t, len(test.found), test.want, "%s: %v", test.name, test.found)
	}
}

// Guards against a token check that misses a short burst, or blames an account
// for tokens that were charged long before they were used.
func TestExceeded(t *testing.T) {
	limit := cluster.Limit{Rate: 100, Burst: 150}
	for _, test := range []struct {
		name      string
		sent      []float64
		wantFound bool
	}{
		{"within burst", []float64{0.9}, false},
		{"above burst", []float64{0.9, 0.95}, true},
		{"long queued", []float64{0, 0.9}, false},
		{"above rate", []float64{0, 0.1, 0.2}, true},
	} {
		var outcomes []runner.Outcome
		var r cluster.Records
		for i, sent := range test.sent {
			id := string(rune('a' + i))
			outcomes = append(outcomes, outcome(model, id, caller.Whole, false, sent, 3))
			r.Runs = append(r.Runs, run(id, "e1", "finished", 1, 2))
		}
		found := cluster.CheckUse(map[string]cluster.Limit{"shop": limit}, outcomes, r)
		assert.Equal(t, len(found) > 0, test.wantFound, "%s: %v", test.name, found)
	}
}
