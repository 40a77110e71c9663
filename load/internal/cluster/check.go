package cluster

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"ragwortshunt.example/load/internal/caller"
	"ragwortshunt.example/load/internal/runner"
	"ragwortshunt.example/load/internal/workload"
)

// bytesPerToken is the number of body bytes of a service call that cost one token.
const bytesPerToken = 4

// maxFindings is the maximum number of findings that one check reports.
const maxFindings = 20

// Limit is the rate in tokens per second and the burst in tokens of an account.
type Limit struct{ Rate, Burst int64 }

// findings collects the violations that a check finds.
type findings []string

// addf adds a finding unless there are maxFindings already.
func (f *findings) addf(format string, args ...any) {
	if len(*f) < maxFindings {
		*f = append(*f, fmt.Sprintf(format, args...))
	}
}

// Describe returns a one-line description of a request and its outcome.
func Describe(o runner.Outcome) string {
	return fmt.Sprintf("%s %q of flow %s at %s, sent %s, took %s: %s %s", o.Result.Status, o.Result.RequestID,
		o.Request.Flow.Name, o.Result.Router, o.Sent.Format(time.TimeOnly), o.Ended.Sub(o.Sent).Round(time.Millisecond),
		o.Result.Code, o.Result.Detail)
}

// CheckAnswers finds requests that ended with neither a complete answer nor a refusal,
// except those that excused allows. A wrong answer is never excused. The findings
// include the routers' explain output for the requests.
func (c *Cluster) CheckAnswers(outcomes []runner.Outcome, excused func(o runner.Outcome) bool) []string {
	var f findings
	for _, o := range outcomes {
		conclusive := o.Result.Status == caller.Whole || o.Result.Status == caller.Refused
		if !conclusive && (o.Result.Status == caller.Wrong || !excused(o)) {
			f.addf("%s: %s", Describe(o), c.Explain(o.Result.RequestID))
		}
	}
	return f
}

// CheckExecutedOnce finds service calls that were executed more than once, and calls
// that got a complete reply without being executed.
func CheckExecutedOnce(outcomes []runner.Outcome, r Records) []string {
	var f findings
	seen := map[string]Execution{}
	for _, e := range r.Executions {
		if first, ok := seen[e.IdempotencyKey]; ok {
			f.addf("idempotency key %q was executed for %s and for %s", e.IdempotencyKey, first, e)
		}
		seen[e.IdempotencyKey] = e
	}
	for _, o := range outcomes {
		if o.Request.Flow.Kind != workload.KindService || o.Result.Status != caller.Whole {
			continue
		}
		if _, ok := seen[o.Request.IdempotencyKey]; !ok {
			f.addf("reply without an execution: %s", Describe(o))
		}
	}
	return f
}

// CheckNotRun finds requests that were refused as not run although an engine or a
// service did run them.
func CheckNotRun(outcomes []runner.Outcome, r Records) []string {
	var f findings
	ran := map[string]string{}
	for _, run := range r.Runs {
		ran[run.Request] = run.Role + " run on " + run.Endpoint
	}
	for _, e := range r.Executions {
		ran[e.Request] = "execution on " + e.Service
	}
	for _, o := range outcomes {
		if runDetail, ok := ran[o.Result.RequestID]; ok && o.Result.NotRun {
			f.addf("refused as not run, but there is a %s: %s", runDetail, Describe(o))
		}
	}
	return f
}

// CheckNothingHeld finds runs that have not ended and KV caches that are still held.
func CheckNothingHeld(r Records) []string {
	var f findings
	for _, run := range r.Runs {
		if run.Outcome == "" || run.KVState == kvHeld {
			f.addf("%s run of %s/%d on %s, started %s, is not released (KV cache: %s)",
				run.Role, run.Request, run.Attempt, run.Endpoint, run.Start.Format(time.TimeOnly), run.KVState)
		}
	}
	return f
}

// CheckNoOrphans finds decode runs that ended only because nobody read their output.
// A live router must cancel the runs that it abandons.
func CheckNoOrphans(r Records) []string {
	var f findings
	for _, run := range r.Runs {
		if run.Role == roleDecode && run.Outcome == runOrphaned {
			f.addf("%s run of %s/%d on %s was not cancelled", run.Role, run.Request, run.Attempt, run.Endpoint)
		}
	}
	return f
}

// CheckSecrets finds secrets in the calls that endpoints received and in texts, which
// are given by name. It also reports if no calls or not all calls could be searched.
func CheckSecrets(secrets []string, r Records, texts ...map[string]string) []string {
	f := findings(r.SecretLeaks)
	if r.Searched == 0 || r.Dropped > 0 {
		f.addf("%d calls were searched, %d were no longer on record", r.Searched, r.Dropped)
	}
	for _, group := range texts {
		for name, text := range group {
			for _, secret := range secrets {
				if strings.Contains(text, secret) {
					f.addf("%s contains an API key", name)
				}
			}
		}
	}
	return f
}

// usage is the number of tokens that one request used. They were charged at some time
// between sent, when the caller sent the request, and start, when its first run began.
type usage struct {
	sent, start time.Time
	tokens      int64
}

// CheckTableLimits is CheckLimits with the rate limits of the configuration table.
func (c *Cluster) CheckTableLimits(outcomes []runner.Outcome, r Records) ([]string, error) {
	limits, err := c.layout.table.limits()
	if err != nil {
		return nil, err
	}
	return CheckLimits(limits, outcomes, r), nil
}

// CheckLimits finds accounts whose requests used more tokens than their rate and burst
// allow in some period. A request counts in the periods that contain both the time at
// which it was sent and the start of its first run, because it was charged in between.
func CheckLimits(limits map[string]Limit, outcomes []runner.Outcome, r Records) []string {
	var f findings
	for account, usages := range usagesByAccount(outcomes, r) {
		limit := limits[account]
		slices.SortFunc(usages, func(a, b usage) int { return a.start.Compare(b.start) })
		for _, from := range usages {
			if text := firstExcess(limit, from.sent, usages); text != "" {
				f.addf("account %s: %s", account, text)
				break
			}
		}
	}
	return f
}

// firstExcess describes the shortest period that starts at from and in which usages
// exceed the limit, or returns "". usages must be sorted by start.
func firstExcess(limit Limit, from time.Time, usages []usage) string {
	var sum int64
	for _, u := range usages {
		if u.sent.Before(from) {
			continue
		}
		sum += u.tokens
		span := u.start.Sub(from)
		if allowed := float64(limit.Rate)*span.Seconds() + float64(limit.Burst); float64(sum) > allowed {
			return fmt.Sprintf("%d tokens in %s, allowed are %.0f", sum, span.Round(time.Millisecond), allowed)
		}
	}
	return ""
}

// usagesByAccount returns the token usage of each request, by account. Requests that
// did not run are left out.
func usagesByAccount(outcomes []runner.Outcome, r Records) map[string][]usage {
	requests := map[string]*usage{}
	record := func(requestID string, at time.Time, tokens int64) {
		u, ok := requests[requestID]
		if !ok {
			u = &usage{start: at}
			requests[requestID] = u
		}
		if at.Before(u.start) {
			u.start = at
		}
		u.tokens = max(u.tokens, tokens)
	}
	for _, run := range r.Runs {
		// The prompt of a later attempt includes the output that was delivered before,
		// so the maximum of the attempts is the usage.
		record(run.Request, run.Start, run.PromptTokens+run.OutputTokens)
	}
	for _, e := range r.Executions {
		record(e.Request, e.Time, 0)
	}
	out := map[string][]usage{}
	for _, o := range outcomes {
		u, ok := requests[o.Result.RequestID]
		if !ok {
			continue
		}
		u.sent = o.Sent
		if o.Request.Flow.Kind == workload.KindService {
			u.tokens = int64(len(o.Request.Prompt))/bytesPerToken + 1
		}
		account := o.Request.Flow.Account
		out[account] = append(out[account], *u)
	}
	return out
}

// CheckLeavingEndpoint finds runs that an endpoint started later than bound after its
// state became leaving, and runs in progress at that time that did not finish. An
// unfinished run is allowed if its KV cache was lost, or if another router declared the
// router of the run dead: the runs of that router are then cancelled by design.
func (c *Cluster) CheckLeavingEndpoint(endpoint string, since time.Time, bound time.Duration, r Records) ([]string, error) {
	dead, err := c.declaredDead()
	if err != nil {
		return nil, err
	}
	var f findings
	for _, run := range r.Runs {
		if run.Endpoint != endpoint {
			continue
		}
		inProgress := run.Start.Before(since) && run.End.After(since)
		switch {
		case run.Start.After(since.Add(bound)):
			f.addf("%s started a run of %s/%d %s after its state became leaving", endpoint, run.Request, run.Attempt, run.Start.Sub(since))
		case inProgress && !dead[c.hostOf(run.Request)] && run.Outcome != runFinished && run.Outcome != runKVLost:
			f.addf("run of %s/%d on %s ended as %s after the state of the endpoint became leaving", run.Request, run.Attempt, endpoint, run.Outcome)
		}
	}
	return f, nil
}

// CheckWithdrawnKey finds requests and runs of an account that continued later than bound
// after its API key was withdrawn. Refused requests that did not run are allowed.
func CheckWithdrawnKey(account string, since time.Time, bound time.Duration, outcomes []runner.Outcome, r Records) []string {
	var f findings
	end := since.Add(bound)
	requests := map[string]bool{}
	for _, o := range outcomes {
		if o.Request.Flow.Account != account {
			continue
		}
		requests[o.Result.RequestID] = true
		refused := o.Result.Status == caller.Refused && o.Result.NotRun
		if !refused && o.Ended.After(end) {
			f.addf("served after the key was withdrawn: %s", Describe(o))
		}
	}
	for _, run := range r.Runs {
		if requests[run.Request] && run.End.After(end) {
			f.addf("%s run of %s on %s ended %s after the key was withdrawn", run.Role, run.Request, run.Endpoint, run.End.Sub(since))
		}
	}
	return f
}

// Count returns the number of outcomes that satisfy cond.
func Count(outcomes []runner.Outcome, cond func(o runner.Outcome) bool) int {
	n := 0
	for _, o := range outcomes {
		if cond(o) {
			n++
		}
	}
	return n
}

// Summary returns the numbers of outcomes by status and error code, on one line.
func Summary(outcomes []runner.Outcome) string {
	counts := map[string]int{}
	for _, o := range outcomes {
		counts[strings.TrimSpace(string(o.Result.Status)+" "+o.Result.Code)]++
	}
	var lines []string
	for name, n := range counts {
		lines = append(lines, fmt.Sprintf("%s: %d", name, n))
	}
	slices.SortFunc(lines, cmp.Compare)
	return strings.Join(lines, ", ")
}
