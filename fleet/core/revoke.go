package core

import (
	"fmt"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

// revokeRequests checks all requests against a new table: their keys can have been withdrawn, or
// belong to other client accounts now. Running service calls are not interrupted.
func (s *step) revokeRequests() {
	for _, r := range s.sortedRequests() {
		if r.stage != StageCall {
			s.reauthorize(r)
		}
	}
}

// reauthorize checks the key and the route of a request against the table in force. It reports
// whether they no longer allow what the request was admitted for: it has refused the request
// then, or admitted it anew under the client account that has the key now.
func (s *step) reauthorize(r *request) bool {
	if code, text := s.revocationError(r); code != "" {
		s.refuse(r, code, text, 0)
		return true
	}
	owner := s.snapshot().Keys[r.Key].Account
	if r.route.Open || r.isBound() || owner == r.account {
		return false
	}
	s.changeAccount(r, owner)
	return true
}

// revocationError returns the code and text for a request whose key or route is no longer
// valid, or an empty code. In relay mode a change of its route does not affect a request that
// has been accepted, and nothing affects one that an endpoint has got.
func (s *step) revocationError(r *request) (code, text string) {
	snap := s.snapshot()
	if !r.relayed {
		if _, ok := snap.Routes[r.Route]; !ok {
			return CodeRouteRemoved, "the route has been removed"
		}
	}
	if r.route.Open || r.relayed && r.isDispatched() {
		return "", ""
	}
	key, ok := snap.Keys[r.Key]
	if _, known := snap.Accounts[key.Account]; !ok || key.State != table.StateActive || !known {
		return CodeKeyWithdrawn, "the key has been withdrawn"
	}
	return "", ""
}

// isDispatched reports whether an endpoint has got the request, at least for a prefill.
func (r *request) isDispatched() bool { return r.dispatched || r.ranEarlier }

// isBound reports whether the request goes on under the client account that it was admitted for,
// because an endpoint has got it, or because its claim names the account.
func (r *request) isBound() bool { return r.isDispatched() || r.stage == StageClaim }

// changeAccount admits a waiting request anew under another client account. Its caller has
// waited since the request arrived, and the scheduler goes on to count from then.
func (s *step) changeAccount(r *request, account id.Account) {
	r.addTrace(s.now, "the key has passed from account %s to %s", r.account, account)
	s.emit(Log{
		Level: LogInfo, Component: partRequest, Text: "Key of a waiting request has another owner.",
		Request: r.Request, Account: account, Trace: fmt.Sprintf("admitted before for %s", r.account),
	})
	s.releaseAttempt(r, "")
	s.settleCharge(r)
	r.account = account
	r.level = s.levels().Of(s.snapshot(), account, r.route)
	s.admit(r)
}
