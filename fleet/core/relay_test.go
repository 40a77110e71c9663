package core_test

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/member"
	"ragwortshunt.example/fleet/message"
	"ragwortshunt.example/fleet/object"
	"ragwortshunt.example/fleet/retry"
	"ragwortshunt.example/fleet/table"
)

const (
	relayDomain    = "d"
	relayTimeout   = 10 * time.Second
	relayQueueTime = 900 * time.Millisecond
)

// relayHost is one host in relay mode with its own clock. Messages of peers are
// simulated by the test.
type relayHost struct {
	t   *testing.T
	st  *core.State
	now time.Time
}

func relayTable(version uint64, leaving ...id.Endpoint) *table.Snapshot {
	s := &table.Snapshot{
		Version:  version,
		Accounts: map[id.Account]table.Account{"a": {Name: "a", Weight: 1}},
		Pools: map[id.Pool]table.Pool{
			"m/prefill": {
				Name: "m/prefill", Role: table.RolePrefill, Model: "m", Slots: 8, Blocks: 2000,
				BlockTokens: 16, PrefillRate: 33_000, LinkRate: 1_000_000,
			},
			"m/decode": {
				Name: "m/decode", Role: table.RoleDecode, Model: "m", Slots: 8, Blocks: 2000,
				BlockTokens: 16, LinkRate: 1_000_000,
			},
			"rack": {Name: "rack", Role: table.RoleService},
		},
		Endpoints: map[id.Endpoint]table.Endpoint{
			"p1": {Name: "p1", Pool: "m/prefill", Zone: relayDomain, Address: "10.0.0.1:1", State: table.StateActive},
			"d1": {Name: "d1", Pool: "m/decode", Zone: relayDomain, Address: "10.0.0.2:1", State: table.StateActive},
			"d2": {Name: "d2", Pool: "m/decode", Zone: relayDomain, Address: "10.0.0.3:1", State: table.StateActive},
			"s1": {Name: "s1", Pool: "rack", Zone: relayDomain, Address: "10.0.0.4:1", State: table.StateActive},
			"s2": {Name: "s2", Pool: "rack", Zone: relayDomain, Address: "10.0.0.5:1", State: table.StateActive},
		},
		Routes: map[id.Route]table.Route{
			"once": {
				Name: "once", Model: "m", Class: message.ClassInteractive, FirstToken: relayQueueTime,
				Timeout: relayTimeout, Attempts: 1, NoResume: true, CanWait: true,
			},
			"resumable": {
				Name: "resumable", Model: "m", Class: message.ClassInteractive, FirstToken: relayQueueTime,
				Timeout: relayTimeout, Attempts: 2, CanWait: true, FirstEventTimeout: 3 * time.Second,
			},
			"unsafe": {Name: "unsafe", Pool: "rack", Class: message.ClassInteractive, Timeout: relayTimeout, Attempts: 1},
			"safe": {
				Name: "safe", Pool: "rack", Class: message.ClassInteractive, Timeout: relayTimeout, Attempts: 2,
				Idempotent: true,
			},
			"events": {
				Name: "events", Pool: "rack", Class: message.ClassInteractive, Timeout: relayTimeout, Attempts: 2, Streams: true,
			},
		},
		Keys: map[id.KeyID]table.Key{"k": {ID: "k", Account: "a", State: table.StateActive}},
	}
	for _, name := range leaving {
		ep := s.Endpoints[name]
		ep.State = table.StateLeaving
		s.Endpoints[name] = ep
	}
	return s
}

func newRelayHost(t *testing.T) *relayHost {
	return newRelayHostWith(t, func(*core.Config) {})
}

func newRelayHostWith(t *testing.T, configure func(*core.Config)) *relayHost {
	h := &relayHost{t: t, now: time.Unix(1, 0)}
	cfg := core.DefaultConfig("h1", 1, relayDomain, []id.Zone{relayDomain})
	cfg.Relay = true
	cfg.LoadInterval = 0
	cfg.Retry = retry.Config{Ratio: 0.2, Window: 10 * time.Second, ExtraRetries: 20}
	configure(&cfg)
	h.st = core.New(cfg, h.now)
	h.reduce(core.HostsListed{Hosts: []object.Host{{Host: "h1", Zone: relayDomain, Address: "127.0.0.1:1"}}})
	h.reduce(core.TableOpened{Snapshot: relayTable(1)})
	h.advance(3 * time.Second) // a new scheduler limits its grants at first
	return h
}

// newHostWithPeer returns a host and a peer that schedules the host's cell.
func newHostWithPeer(t *testing.T) (*relayHost, id.Host) {
	h := newRelayHost(t)
	peer := id.Host("h2")
	for n := 3; member.Owner([]id.Host{"h1", peer}, "cell/d/m/0") != peer; n++ {
		peer = id.Host(fmt.Sprintf("h%d", n))
	}
	h.reduce(core.HostsListed{Hosts: []object.Host{
		{Host: "h1", Zone: relayDomain, Address: "127.0.0.1:1"}, {Host: peer, Zone: relayDomain, Address: "127.0.0.1:2"},
	}})
	h.reduce(core.PeerMessage{From: peer, Incarnation: 1, Message: message.Heartbeat{Zone: relayDomain}})
	return h, peer
}

func (h *relayHost) reduce(ev core.Event) []core.Effect {
	out := core.Reduce(h.st, core.Input{Now: h.now, Wall: h.now, Event: ev})
	assert.NilError(h.t, core.Check(h.st))
	return out
}

func (h *relayHost) advance(d time.Duration) []core.Effect {
	const tick = 20 * time.Millisecond
	var out []core.Effect
	for end := h.now.Add(d); h.now.Before(end); {
		h.now = h.now.Add(tick)
		out = append(out, h.reduce(core.Tick{})...)
	}
	return out
}

func (h *relayHost) sendRequest(req id.Request, route id.Route) []core.Effect {
	return h.reduce(core.RequestArrived{
		Request: req, Route: route, Account: "a", Key: "k", PromptTokens: 1000, MaxTokens: 500, Timeout: relayTimeout,
	})
}

// advanceToDecode sends a request, completes its prefill and returns its StartDecode.
func (h *relayHost) advanceToDecode(req id.Request, route id.Route) core.StartDecode {
	h.t.Helper()
	return h.completePrefill(h.sendRequest(req, route))
}

func (h *relayHost) completePrefill(effects []core.Effect) core.StartDecode {
	h.t.Helper()
	p := find(h.t, effects, core.StartPrefill{}).(core.StartPrefill)
	return find(h.t, h.reduce(core.PrefillDone{Request: p.Request, Attempt: p.Attempt, KV: "kv"}), core.StartDecode{}).(core.StartDecode)
}

// find returns the effect of the same type as sample. It fails unless there is exactly
// one.
func find(t *testing.T, effects []core.Effect, sample core.Effect) core.Effect {
	t.Helper()
	var out core.Effect
	n := 0
	for _, e := range effects {
		if reflect.TypeOf(e) == reflect.TypeOf(sample) {
			out = e
			n++
		}
	}
	assert.Equal(t, n, 1, "%T in %+v", sample, effects)
	return out
}

// has reports whether there is an effect of the same type as sample.
func has(effects []core.Effect, sample core.Effect) bool {
	return slices.ContainsFunc(effects, func(e core.Effect) bool {
		return reflect.TypeOf(e) == reflect.TypeOf(sample)
	})
}

// TestUnsafeCallOnce guards against a second run of a non-idempotent call that may have
// run, and against reporting it as not run.
func TestUnsafeCallOnce(t *testing.T) {
	h := newRelayHost(t)
	c := find(t, h.sendRequest("r", "unsafe"), core.CallService{}).(core.CallService)
	out := h.reduce(core.RunFailed{Request: "r", Attempt: c.Attempt, Endpoint: c.Endpoint, Code: "broken"})
	assert.Assert(t, !has(out, core.CallService{}))
	assert.Assert(t, !find(t, out, core.Refuse{}).(core.Refuse).NotRun)
}

// TestUnsafeCallRejected guards against a missing retry of a non-idempotent call that an
// endpoint has rejected without running it.
func TestUnsafeCallRejected(t *testing.T) {
	h := newRelayHost(t)
	c := find(t, h.sendRequest("r", "unsafe"), core.CallService{}).(core.CallService)
	out := h.reduce(core.RunFailed{Request: "r", Attempt: c.Attempt, Endpoint: c.Endpoint, NotRun: true})
	again := find(t, out, core.CallService{}).(core.CallService)
	assert.Assert(t, again.Endpoint != c.Endpoint)
}

// TestSafeCallAttempts guards against more runs than the route allows, and against
// replacing the endpoint's error response by another error.
func TestSafeCallAttempts(t *testing.T) {
	h := newRelayHost(t)
	c := find(t, h.sendRequest("r", "safe"), core.CallService{}).(core.CallService)
	failed := core.RunFailed{Request: "r", Attempt: c.Attempt, Endpoint: c.Endpoint, Code: "500", HasReply: true}
	c = find(t, h.reduce(failed), core.CallService{}).(core.CallService)
	failed.Attempt, failed.Endpoint = c.Attempt, c.Endpoint
	out := h.reduce(failed)
	assert.Assert(t, !has(out, core.CallService{}))
	assert.Assert(t, has(out, core.Reply{}))
}

// TestFirstReply guards against forwarding the reply of another attempt than the one that got
// it: a later attempt that has ended without a reply may still receive a part of one.
func TestFirstReply(t *testing.T) {
	h := newRelayHost(t)
	first := find(t, h.sendRequest("r", "safe"), core.CallService{}).(core.CallService)
	failed := core.RunFailed{Request: "r", Attempt: first.Attempt, Endpoint: first.Endpoint, Code: "500", HasReply: true}
	second := find(t, h.reduce(failed), core.CallService{}).(core.CallService)
	out := h.reduce(core.RunFailed{Request: "r", Attempt: second.Attempt, Endpoint: second.Endpoint, Code: "broken"})
	assert.Equal(t, find(t, out, core.Reply{}).(core.Reply).Attempt, first.Attempt)
}

// TestStreamOnce guards against a second run of a stream that must not be resumed.
func TestStreamOnce(t *testing.T) {
	h := newRelayHost(t)
	d := h.advanceToDecode("r", "once")
	out := h.reduce(core.RunFailed{Request: "r", Attempt: d.Attempt, Endpoint: d.Endpoint, Code: "broken"})
	assert.Assert(t, !has(out, core.StartPrefill{}))
	assert.Assert(t, !find(t, out, core.Refuse{}).(core.Refuse).NotRun)
}

// TestStreamRejected guards against refusing a request whose decode was rejected without
// a run, although it may be placed on another endpoint.
func TestStreamRejected(t *testing.T) {
	h := newRelayHost(t)
	d := h.advanceToDecode("r", "once")
	out := h.reduce(core.RunFailed{Request: "r", Attempt: d.Attempt, Endpoint: d.Endpoint, NotRun: true})
	assert.Assert(t, h.completePrefill(out).Endpoint != d.Endpoint)
}

// TestRefusalAfterEvents guards against a second run of a stream that must not be resumed,
// because a refusal follows events of its run.
func TestRefusalAfterEvents(t *testing.T) {
	h := newRelayHost(t)
	d := h.advanceToDecode("r", "once")
	h.reduce(core.TokensArrived{Request: "r", Attempt: d.Attempt, Tokens: []string{"one"}})
	out := h.reduce(core.RunFailed{Request: "r", Attempt: d.Attempt, Endpoint: d.Endpoint, NotRun: true})
	assert.Assert(t, !has(out, core.StartPrefill{}))
	assert.Assert(t, !find(t, out, core.Refuse{}).(core.Refuse).NotRun)
}

// TestStreamResumes guards against a resumed stream that repeats or skips events.
func TestStreamResumes(t *testing.T) {
	h := newRelayHost(t)
	d := h.advanceToDecode("r", "resumable")
	h.reduce(core.TokensArrived{Request: "r", Attempt: d.Attempt, Offset: 0, Tokens: []string{"one"}})
	out := h.breakStream(d)
	again := h.completePrefill(out)
	assert.Equal(t, again.From, int64(1))
	out = h.reduce(core.TokensArrived{Request: "r", Attempt: again.Attempt, Offset: 1, Tokens: []string{"two"}})
	assert.DeepEqual(t, find(t, out, core.Deliver{}).(core.Deliver).Tokens, []string{"two"})
	out = h.reduce(core.TokensArrived{Request: "r", Attempt: again.Attempt, Offset: 2, End: true})
	assert.Assert(t, has(out, core.Finish{}))
}

// TestStreamGap guards against an engine that leaves out a chunk and then exhausts the memory of the
// host with chunks that wait for it. Chunks that overtake others are delivered in order.
func TestStreamGap(t *testing.T) {
	const maxBuffered = 64 << 10 // bytes
	for _, token := range []string{"", strings.Repeat("x", 1024)} {
		h := newRelayHost(t)
		d := h.advanceToDecode("r", "once")
		h.reduce(core.TokensArrived{Request: "r", Attempt: d.Attempt, Offset: 1, Tokens: []string{"two"}})
		out := h.reduce(core.TokensArrived{Request: "r", Attempt: d.Attempt, Offset: 0, Tokens: []string{"one"}})
		assert.Assert(t, has(out, core.Deliver{}))
		buffered := int64(0)
		for !has(out, core.CancelRun{}) {
			buffered++
			assert.Assert(t, buffered*int64(len(token)) <= maxBuffered && buffered < 1000, "%d chunks are kept", buffered)
			out = h.reduce(core.TokensArrived{Request: "r", Attempt: d.Attempt, Offset: 2 + buffered, Tokens: []string{token}})
		}
		assert.Assert(t, buffered > 10)
	}
}

// TestLateResult guards against a result of an earlier attempt that is mistaken for one
// of the current attempt in the same stage.
func TestLateResult(t *testing.T) {
	h := newRelayHost(t)
	first := h.advanceToDecode("r", "resumable")
	out := h.breakStream(first)
	p := find(t, out, core.StartPrefill{}).(core.StartPrefill)
	out = h.reduce(core.PrefillDone{Request: "r", Attempt: first.Attempt, KV: "old"})
	assert.Assert(t, !has(out, core.StartDecode{}), "a prefill of an earlier attempt was used")
	second := find(t, h.reduce(core.PrefillDone{Request: "r", Attempt: p.Attempt, KV: "new"}), core.StartDecode{}).(core.StartDecode)
	assert.Equal(t, second.KV, "new")
	out = h.reduce(core.TokensArrived{Request: "r", Attempt: first.Attempt, Offset: 0, Tokens: []string{"old"}, End: true})
	assert.Assert(t, !has(out, core.Deliver{}), "an event of an earlier attempt was delivered")
	out = h.reduce(core.RunFailed{Request: "r", Attempt: first.Attempt, Endpoint: first.Endpoint, Code: "broken"})
	assert.Assert(t, !has(out, core.Refuse{}), "a failure of an earlier attempt ended the request")

	c := find(t, h.sendRequest("c", "safe"), core.CallService{}).(core.CallService)
	out = h.reduce(core.RunFailed{Request: "c", Attempt: c.Attempt, Endpoint: c.Endpoint, Code: "broken"})
	assert.Assert(t, has(out, core.CallService{}))
	out = h.reduce(core.ServiceDone{Request: "c", Attempt: c.Attempt, Status: 200})
	assert.Assert(t, !has(out, core.Reply{}), "a reply of an earlier attempt was forwarded")
}

// TestDeadline guards against a request that stays open after its deadline.
func TestDeadline(t *testing.T) {
	h := newRelayHost(t)
	h.sendRequest("r", "unsafe")
	out := h.advance(relayTimeout + 100*time.Millisecond)
	refusal := find(t, out, core.Refuse{}).(core.Refuse)
	assert.Equal(t, refusal.Code, core.CodeDeadline)
	assert.Assert(t, !refusal.NotRun)
}

// TestGoneCaller guards against an idempotent call that continues after its caller has
// disconnected, and against cancelling a non-idempotent call.
func TestGoneCaller(t *testing.T) {
	h := newRelayHost(t)
	h.sendRequest("r", "safe")
	assert.Assert(t, has(h.reduce(core.CallerGone{Request: "r"}), core.CancelRun{}))
	h.sendRequest("u", "unsafe")
	assert.Assert(t, !has(h.reduce(core.CallerGone{Request: "u"}), core.CancelRun{}))
}

// TestLeavingGrant guards against work on a leaving endpoint. A scheduler that has lost
// contact with the platform does not know that the endpoint is leaving and may grant it.
func TestLeavingGrant(t *testing.T) {
	h, peer := newHostWithPeer(t)
	h.reduce(core.TableOpened{Snapshot: relayTable(2, "p1")})
	h.sendRequest("r", "once")
	grant := message.SlotGrant{Request: "r", Attempt: 1, Prefill: "p1", Decode: "d1", Valid: time.Second}
	out := h.reduce(core.PeerMessage{From: peer, Incarnation: 1, Message: grant})
	assert.Assert(t, !has(out, core.StartPrefill{}))
	var failed []id.Endpoint
	for _, e := range out {
		if e, ok := e.(core.SendPeer); ok {
			if m, ok := e.Message.(message.SlotUpdate); ok {
				failed = append(failed, m.Failed)
			}
		}
	}
	assert.DeepEqual(t, failed, []id.Endpoint{"p1"})
}

// TestSilentScheduler guards against requests that wait for a dead or unreachable
// scheduler until membership detects it.
func TestSilentScheduler(t *testing.T) {
	h, _ := newHostWithPeer(t)
	h.sendRequest("r", "once")
	early := h.advance(200 * time.Millisecond)
	assert.Assert(t, !has(early, core.StartPrefill{}), "the host did not give the scheduler time to reply")
	out := h.advance(300 * time.Millisecond)
	assert.Assert(t, has(out, core.StartPrefill{}), "the request still waits for the silent scheduler")
}

// TestResumeInTime guards against refusing a stream that breaks late in the response,
// because the time since its arrival is mistaken for time in a queue.
func TestResumeInTime(t *testing.T) {
	h := newRelayHost(t)
	d := h.advanceToDecode("r", "resumable")
	for n := range 60 {
		h.advance(100 * time.Millisecond)
		h.reduce(core.TokensArrived{Request: "r", Attempt: d.Attempt, Offset: int64(n), Tokens: []string{"x"}})
	}
	assert.Equal(t, h.completePrefill(h.breakStream(d)).From, int64(60))
}

// TestReplyAtEnd guards against replacing the answer that an endpoint has given by a failure of
// this host, because the request ends while another attempt is under way: at its deadline, or
// when a host that is leaving must end.
func TestReplyAtEnd(t *testing.T) {
	for _, tt := range []struct {
		name string
		end  func(h *relayHost) []core.Effect
	}{
		{"deadline", func(h *relayHost) []core.Effect { return h.advance(relayTimeout + 100*time.Millisecond) }},
		{"shutdown", func(h *relayHost) []core.Effect {
			h.reduce(core.DrainRequested{Within: 3 * time.Second})
			return h.advance(3500 * time.Millisecond)
		}},
	} {
		t.Run(tt.name, func(t *testing.T) {
			h := newRelayHost(t)
			first := find(t, h.sendRequest("r", "safe"), core.CallService{}).(core.CallService)
			failed := core.RunFailed{Request: "r", Attempt: first.Attempt, Endpoint: first.Endpoint, Code: "500", HasReply: true}
			second := find(t, h.reduce(failed), core.CallService{}).(core.CallService)
			out := tt.end(h)
			assert.Equal(t, find(t, out, core.Reply{}).(core.Reply).Attempt, first.Attempt)
			assert.Equal(t, find(t, out, core.CancelRun{}).(core.CancelRun).Attempt, second.Attempt)
			assert.Assert(t, !has(out, core.Refuse{}), "%+v", out)
		})
	}
}
