package core

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/pace"
	"ragwortshunt.example/fleet/retry"
)

// codeNoRetryLeft is the code of a request whose retry budget was used up while it waited.
const codeNoRetryLeft = "no-retry-left"

const (
	// pauseThreshold is the gap between two ticks above which this host is considered to
	// have been paused. It is longer than the pause that a CPU quota causes.
	pauseThreshold = 200 * time.Millisecond
	// resumeRetryInterval is the wait after a failed search for an endpoint that resumes a
	// stream.
	resumeRetryInterval = 200 * time.Millisecond
)

// excludePause excludes a pause of this host from the time without progress of its
// requests. What their endpoints sent meanwhile is still waiting to be read.
func (s *step) excludePause() {
	pause := s.now.Sub(s.lastTick)
	if !s.cfg.Relay || s.lastTick.IsZero() || pause < pauseThreshold {
		return
	}
	s.resumedAt = s.now
	pace.Discard(s.pace, s.now)
	for _, r := range s.requests {
		if resumed := r.lastProgress.Add(pause); resumed.Before(s.now) {
			r.lastProgress = resumed
		} else {
			r.lastProgress = s.now
		}
	}
}

// waitedFor returns how long this host has waited for a reply to a message that it sent at the
// given time. The wait starts anew after a pause, because the reply may not have been read yet.
func (s *step) waitedFor(sent time.Time) time.Duration {
	return min(s.now.Sub(sent), s.now.Sub(s.resumedAt))
}

// recordProgress records that the decode engine of a request has sent an event. A prefill
// does not count, because it shows nothing about the engines that decode.
func (s *step) recordProgress(r *request) {
	r.lastProgress = s.now
	s.engineProgress[r.decode] = s.now
}

// forgetEngines forgets the progress of engines that are not in the table any more.
func (s *step) forgetEngines() {
	for name := range s.engineProgress {
		if _, ok := s.snapshot().Endpoints[name]; !ok {
			delete(s.engineProgress, name)
			delete(s.engineGaps, name)
		}
	}
	s.forgetPaces()
}

// isResumableElsewhere reports whether a stream that its endpoint has stopped sending may
// go on at another endpoint now. Another engine of the model that is not leaving must have
// sent events since: if all of them are silent, a move gains nothing.
func (s *step) isResumableElsewhere(r *request, silent id.Endpoint) bool {
	if r.route.NoResume || r.runCount >= r.route.Attempts || r.failures >= maxRelayFailures {
		return false
	}
	if _, _, quarantined := s.findQuarantined(r); quarantined {
		return false
	}
	return s.hasProgressElsewhere(r, silent) && retry.Available(s.retries, s.now, r.retryBudgetKey(), s.retryHosts())
}

func (s *step) hasProgressElsewhere(r *request, silent id.Endpoint) bool {
	snap := s.snapshot()
	for name, at := range s.engineProgress {
		if name == silent || !at.After(r.lastProgress) || s.firstUnusable(name) != "" {
			continue
		}
		if snap.Pools[snap.Endpoints[name].Pool].Model == r.route.Model {
			return true
		}
	}
	return false
}

// isResumable reports whether another attempt may continue the request after an attempt that
// may have run. Such a request is not refused at once, because a refusal breaks off a stream
// that has begun, and can't state that the request has not run. A caller that has received
// nothing waits for FirstEventTimeout at most.
func (s *step) isResumable(r *request) bool {
	if !r.relayed || !r.ranEarlier || r.route.NoResume || r.runCount >= r.route.Attempts {
		return false
	}
	return r.delivered > 0 || s.waitedByCaller(r) < r.route.FirstEventTimeout
}

// resumeLater keeps a resumable request queued if no endpoint resumes it now, and reports
// whether it does. takeRetry is set if its next attempt must be taken from the retry budget.
// The request ends at its deadline, or when its caller leaves.
func (s *step) resumeLater(r *request, takeRetry bool) bool {
	if !s.isResumable(r) {
		return false
	}
	r.stage = StageQueue
	r.resumeAt = s.now.Add(resumeRetryInterval)
	if r.holdUntil.After(r.resumeAt) {
		r.resumeAt = r.holdUntil
	}
	r.resumeTakesRetry = r.resumeTakesRetry || takeRetry
	return true
}

// resumeNow searches for an endpoint again once the wait of resumeLater has passed. It ends the
// request if the caller has waited too long for a retry from the budget.
func (s *step) resumeNow(r *request) {
	if s.now.Before(r.resumeAt) {
		return
	}
	if r.resumeTakesRetry && !retry.Allow(s.retries, s.now, r.retryBudgetKey(), s.retryHosts()) {
		if !s.resumeLater(r, true) {
			s.relayGiveUp(r, codeNoRetryLeft)
		}
		return
	}
	r.resumeAt, r.resumeTakesRetry = time.Time{}, false
	r.refusals, r.triedCells = 0, nil
	s.requestSlot(r)
}
