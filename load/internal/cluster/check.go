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

// bytesPerToken is the price of the body of a service call.
const bytesPerToken = 4

// maxShown bounds the findings of one check.
const maxShown = 20

// Limit is the rate in tokens per second and the burst in tokens of an account.
type Limit struct{ Rate, Burst int64 }

// findings collects what a check has found.
type findings []string

func (f *findings) addf(format string, args ...any) {
	if len(*f) < maxShown {
		*f = append(*f, fmt.Sprintf(format, args...))
	}
}

// Describe names a request and its end.
func Describe(o runner.Outcome) string {
	return fmt.Sprintf("%s %q of flow %s at %s, sent %s, took %s: %s %s", o.Result.Status, o.Result.RequestID,
		o.Request.Flow.Name, o.Result.Router, o.Sent.Format(time.TimeOnly), o.Ended.Sub(o.Sent).Round(time.Millisecond),
		o.Result.Code, o.Result.Detail)
}

// CheckAnswers finds requests that ended without a whole answer and without a
// refusal, except those that excused allows. A wrong answer is never excused. The
// findings contain what the routers know of the requests.
func (c *Cluster) CheckAnswers(outcomes []runner.Outcome, excused func(o runner.Outcome) bool) []string {
	var f findings
	for _, o := range outcomes {
		ended := o.Result.Status == caller.Whole || o.Result.Status == caller.Refused
		if !ended && (o.Result.Status == caller.Wrong || !excused(o)) {
			f.addf("%s: %s", Describe(o), c.Explain(o.Result.RequestID))
		}
	}
	return f
}

// CheckSingle finds service calls that were executed twice, and answered calls
// that were not executed.
func CheckSingle(outcomes []runner.Outcome, r Records) []string {
	var f findings
	seen := map[string]Execution{}
	for _, e := range r.Executions {
		if first, ok := seen[e.IdempotencyKey]; ok {
			f.addf("key %s ran for %s on %s and for %s on %s", e.IdempotencyKey, first.Request, first.Service, e.Request, e.Service)
		}
		seen[e.IdempotencyKey] = e
	}
	for _, o := range outcomes {
		if o.Request.Flow.Kind != workload.KindService || o.Result.Status != caller.Whole {
			continue
		}
		if _, ok := seen[o.Request.IdempotencyKey]; !ok {
			f.addf("answered without an execution: %s", Describe(o))
		}
	}
	return f
}

// CheckNotRun finds requests that were refused as not run and have a run.
func CheckNotRun(outcomes []runner.Outcome, r Records) []string {
	var f findings
	ran := map[string]string{}
	for _, run := range r.Runs {
		ran[run.Request] = run.Role + " on " + run.Endpoint
	}
	for _, e := range r.Executions {
		ran[e.Request] = "execution on " + e.Service
	}
	for _, o := range outcomes {
		if where, ok := ran[o.Result.RequestID]; ok && o.Result.NotRun {
			f.addf("refused as not run, but has a %s: %s", where, Describe(o))
		}
	}
	return f
}

// CheckEnded finds runs that go on and KV caches that are held.
func CheckEnded(r Records) []string {
	var f findings
	for _, run := range r.Runs {
		if run.Outcome == "" || run.KV == kvHeld {
			f.addf("%s run of %s/%d on %s since %s is held (KV %s)",
				run.Role, run.Request, run.Attempt, run.Endpoint, run.Start.Format(time.TimeOnly), run.KV)
		}
	}
	return f
}

// CheckCancelled finds decode runs that ended only because nobody read their
// output. A router that lives cancels the runs that it gives up.
func CheckCancelled(r Records) []string {
	var f findings
	for _, run := range r.Runs {
		if run.Role == roleDecode && run.Outcome == runOrphaned {
			f.addf("%s run of %s/%d on %s was not cancelled", run.Role, run.Request, run.Attempt, run.Endpoint)
		}
	}
	return f
}

// CheckSecrets finds secrets in what endpoints received and in the texts.
func CheckSecrets(secrets []string, r Records, texts ...map[string]string) []string {
	f := findings(r.Found)
	if r.Searched == 0 || r.Dropped > 0 {
		f.addf("%d calls could be searched, %d not", r.Searched, r.Dropped)
	}
	for _, group := range texts {
		for name, text := range group {
			for _, secret := range secrets {
				if strings.Contains(text, secret) {
					f.addf("%s contains a key", name)
				}
			}
		}
	}
	return f
}

// use is the tokens that one request has used. They were charged between the
// times at which the request was sent and its first run began.
type use struct {
	sent, start time.Time
	tokens      int64
}

// CheckTokens is CheckUse with the limits of the table.
func (c *Cluster) CheckTokens(outcomes []runner.Outcome, r Records) ([]string, error) {
	limits, err := c.layout.table.limits()
	if err != nil {
		return nil, err
	}
	return CheckUse(limits, outcomes, r), nil
}

// CheckUse finds accounts whose requests used more than their rate and burst
// allow in any period. A request counts for the periods that contain both the
// time at which it was sent and its first run, as it was charged in between.
func CheckUse(limits map[string]Limit, outcomes []runner.Outcome, r Records) []string {
	var f findings
	for account, uses := range usesOf(outcomes, r) {
		limit := limits[account]
		slices.SortFunc(uses, func(a, b use) int { return a.start.Compare(b.start) })
		for _, from := range uses {
			if text := exceeded(limit, from.sent, uses); text != "" {
				f.addf("account %s: %s", account, text)
				break
			}
		}
	}
	return f
}

// exceeded describes the first period from the given time on in which uses, in
// the order of their starts, exceed the limit.
func exceeded(limit Limit, from time.Time, uses []use) string {
	var sum int64
	for _, u := range uses {
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

// usesOf returns what the requests of each account used.
func usesOf(outcomes []runner.Outcome, r Records) map[string][]use {
	requests := map[string]*use{}
	note := func(request string, at time.Time, tokens int64) {
		u, ok := requests[request]
		if !ok {
			u = &use{start: at}
			requests[request] = u
		}
		if at.Before(u.start) {
			u.start = at
		}
		u.tokens = max(u.tokens, tokens)
	}
	for _, run := range r.Runs {
		// The prompt of a later attempt contains the output that was delivered before.
		note(run.Request, run.Start, run.PromptTokens+run.Tokens)
	}
	for _, e := range r.Executions {
		note(e.Request, e.Time, 0)
	}
	out := map[string][]use{}
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

// CheckLeaving finds work that an endpoint got later than a bound after it was
// leaving, and runs that were under way then and were cut. Runs of routers that
// others took for dead are cut by rule.
func (c *Cluster) CheckLeaving(endpoint string, since time.Time, bound time.Duration, r Records) ([]string, error) {
	dead, err := c.takenForDead()
	if err != nil {
		return nil, err
	}
	var f findings
	for _, run := range r.Runs {
		if run.Endpoint != endpoint {
			continue
		}
		underWay := run.Start.Before(since) && run.End.After(since)
		switch {
		case run.Start.After(since.Add(bound)):
			f.addf("%s got %s/%d %s after it was leaving", endpoint, run.Request, run.Attempt, run.Start.Sub(since))
		case underWay && !dead[c.hostOf(run.Request)] && run.Outcome != runFinished && run.Outcome != runKVLost:
			f.addf("%s/%d on %s was %s after the endpoint was leaving", run.Request, run.Attempt, endpoint, run.Outcome)
		}
	}
	return f, nil
}

// CheckWithdrawn finds requests of an account that got service later than a
// bound after its key was withdrawn.
func CheckWithdrawn(account string, since time.Time, bound time.Duration, outcomes []runner.Outcome, r Records) []string {
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
			f.addf("went on after the key was withdrawn: %s", Describe(o))
		}
	}
	for _, run := range r.Runs {
		if requests[run.Request] && run.End.After(end) {
			f.addf("%s run of %s on %s went on %s after the key was withdrawn", run.Role, run.Request, run.Endpoint, run.End.Sub(since))
		}
	}
	return f
}

// Count returns how many outcomes fulfil a condition.
func Count(outcomes []runner.Outcome, cond func(o runner.Outcome) bool) int {
	n := 0
	for _, o := range outcomes {
		if cond(o) {
			n++
		}
	}
	return n
}

// Summary lists the numbers of outcomes by status and code.
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
