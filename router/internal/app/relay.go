package app

import (
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/retry"
	"ragwortshunt.example/router/internal/settings"
)

const (
	relayTick     = 20 * time.Millisecond // between two Ticks; they cost processor time on an idle host
	relayHandOver = time.Second           // the platform kills a process a few seconds after it asked it to stop
	relayHosts    = 3 * time.Second
	relaySuspect  = 2500 * time.Millisecond // longer than membership takes to notice a death
	relaySettle   = 100 * time.Millisecond
	relayGrace    = 500 * time.Millisecond  // an engine that has gone dark must not use up the callers' patience
	relayStall    = 1200 * time.Millisecond // events come every 50 ms; a preempted run pauses for some 100 ms
	relayKVLife   = 500 * time.Millisecond
	// relayTokenTime is the time between two output tokens of the platform's engines.
	relayTokenTime = 4500 * time.Microsecond
	relayRetry     = 2500 * time.Millisecond // bursts last for some seconds, and callers come back once
	relayScan      = 24                      // queued requests that one round of grants tries; each is tried on all engines of a large cell
	relayMemory    = 97                      // percent of an engine's memory that expected needs may fill
)

// relayConfig sets what differs on the users' platform.
func relayConfig(cfg *core.Config, s *settings.Settings) {
	cfg.Relay = true
	cfg.TickEvery = relayTick
	cfg.HandOver = relayHandOver
	cfg.LoadInterval = 0
	cfg.Order.KeepLease = true
	cfg.PrefillGrace = relayGrace
	cfg.DecodeStall = relayStall
	cfg.SuspectFor = relaySuspect
	cfg.HostsInterval = relayHosts
	cfg.Schedule.KVSurvival = relayKVLife
	cfg.Schedule.Projected = true
	cfg.Schedule.MemoryPercent = relayMemory
	cfg.Schedule.TokenTime = relayTokenTime
	cfg.Schedule.DeferrableShare = 0 // late requests go last; they are refused before their callers give up
	cfg.Schedule.ScanLimit = relayScan
	cfg.Schedule.ScanLane = relayScan / 2
	cfg.Schedule.RetryLeast = relayRetry
	cfg.Schedule.RetryMost = 2 * relayRetry
	cfg.Schedule.RetrySpread = relayRetry / 2
	cfg.Limit.Reclaim = true
	cfg.Limit.Settle = relaySettle
	cfg.Retry = retry.Config{Ratio: s.RetryRatio, Window: s.RetryWindow, Extra: s.RetryExtra}
}
