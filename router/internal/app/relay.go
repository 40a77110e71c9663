package app

import (
	"time"

	"ragwortshunt.example/fleet/core"
	"ragwortshunt.example/fleet/retry"
	"ragwortshunt.example/fleet/throttle"
	"ragwortshunt.example/router/internal/settings"
)

// Parameters of relay mode.
const (
	// relayTickInterval is the time between two Ticks. Each Tick costs CPU time, also on
	// an idle host.
	relayTickInterval = 20 * time.Millisecond
	// relayIdleTick is the time between two Ticks of a host without requests and cells. It
	// is a fifth of the time between two heartbeats.
	relayIdleTick = 100 * time.Millisecond
	// relayHandOverTimeout is short because the platform kills a process a few seconds
	// after it has asked it to stop.
	relayHandOverTimeout  = time.Second
	relayHostListInterval = 3 * time.Second
	// relaySuspectDuration is longer than the membership protocol takes to detect that a
	// host is dead.
	relaySuspectDuration = 3 * time.Second
	// Hosts of a region are one zone of the membership protocol, so that heartbeats are most
	// of what an idle host does. Work is not lost until a death is detected: schedulers that
	// do not answer are passed over at once.
	relayHeartbeatInterval = 750 * time.Millisecond
	relayDeadAfter         = 2500 * time.Millisecond
	relaySettleDelay       = 100 * time.Millisecond
	// relayPrefillGrace is added to the expected time of a prefill. It is short so that an
	// unresponsive engine is detected before callers time out.
	relayPrefillGrace = 500 * time.Millisecond
	// relayDecodeStall is the longest pause of a token stream that is not moved to another
	// engine. A sound engine may pause for more than a second, and one that has been left would
	// work on beside its successor until it notices.
	relayDecodeStall = 2500 * time.Millisecond
	relayKVSurvival  = 500 * time.Millisecond
	// relayTokenTime is the time between two output tokens of the platform's engines.
	relayTokenTime = 4500 * time.Microsecond
	// relayMinRetry is the shortest Retry-After of a refusal. Bursts last for a few
	// seconds, and callers retry only once.
	relayMinRetry = 2500 * time.Millisecond
	// relayScanLimit is the number of queued requests that one scheduling pass tries to
	// place. Each is tried on all engines of a cell, which can be large.
	relayScanLimit = 24
	// relayMemoryPercent is the percentage of an engine's memory that the expected needs
	// of its runs may fill.
	relayMemoryPercent = 97
)

// applyRelayConfig sets the parameters that differ in relay mode (core.Config.Relay), in
// which callers, endpoints and configuration use the protocols of the users' platform.
func applyRelayConfig(cfg *core.Config, s *settings.Settings) {
	cfg.Relay = true
	cfg.TickInterval = relayTickInterval
	cfg.IdleTick = relayIdleTick
	cfg.HandOverTimeout = relayHandOverTimeout
	cfg.LoadInterval = 0
	cfg.Order.LetLeaseExpire = true
	cfg.PrefillGrace = relayPrefillGrace
	cfg.DecodeStall = relayDecodeStall
	cfg.SuspectDuration = relaySuspectDuration
	cfg.Member.HeartbeatInterval = relayHeartbeatInterval
	cfg.Member.DeadAfter = relayDeadAfter
	cfg.HostListInterval = relayHostListInterval
	cfg.Schedule.KVSurvival = relayKVSurvival
	cfg.Schedule.ProjectMemory = true
	cfg.Schedule.EngineSpeeds = true
	cfg.Schedule.MemoryPercent = relayMemoryPercent
	cfg.Schedule.TokenTime = relayTokenTime
	// Deferrable requests get no reserved share: late requests are served last, and are
	// refused before their callers time out.
	cfg.Schedule.DeferrableShare = 0
	cfg.Schedule.ScanLimit = relayScanLimit
	cfg.Schedule.LaneScanLimit = relayScanLimit / 2
	cfg.Schedule.MinRetry = relayMinRetry
	cfg.Schedule.MaxRetry = 2 * relayMinRetry
	cfg.Schedule.RetrySpread = relayMinRetry / 2
	cfg.SlowStart = s.Evacuation > 0
	cfg.Throttle.Cold = throttle.ColdBound{Overrun: s.ColdOverrun, Slack: s.ColdSlack}
	cfg.Limit.Reclaim = true
	cfg.Limit.SettleDelay = relaySettleDelay
	cfg.Pace.Enabled = s.Pace
	cfg.Retry = retry.Config{Ratio: s.RetryRatio, Window: s.RetryWindow, ExtraRetries: s.RetryExtra}
}
