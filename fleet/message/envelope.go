package message

import "ragwortshunt.example/fleet/id"

// Envelope is one batch of messages from one host to another.
type Envelope struct {
	From        id.Host        `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`

	Heartbeats     []Heartbeat     `cbor:"3,keyasint,omitempty"`
	SlotRequests   []SlotRequest   `cbor:"4,keyasint,omitempty"`
	SlotGrants     []SlotGrant     `cbor:"5,keyasint,omitempty"`
	SlotRefusals   []SlotRefusal   `cbor:"6,keyasint,omitempty"`
	SlotUpdates    []SlotUpdate    `cbor:"7,keyasint,omitempty"`
	SlotHolds      []SlotHold      `cbor:"8,keyasint,omitempty"`
	TokenRequests  []TokenRequest  `cbor:"9,keyasint,omitempty"`
	TokenTransfers []TokenTransfer `cbor:"10,keyasint,omitempty"`
	TokenReturns   []TokenReturn   `cbor:"11,keyasint,omitempty"`
	ClaimRequests  []ClaimRequest  `cbor:"12,keyasint,omitempty"`
	ClaimReplies   []ClaimReply    `cbor:"13,keyasint,omitempty"`
	ClaimSettles   []ClaimSettle   `cbor:"14,keyasint,omitempty"`
	TableRequests  []TableRequest  `cbor:"15,keyasint,omitempty"`
	TableReplies   []TableReply    `cbor:"16,keyasint,omitempty"`

	PlatformUpdates []PlatformUpdate `cbor:"17,keyasint,omitempty"`
	Broadcasts      []Broadcast      `cbor:"18,keyasint,omitempty"`

	CrashReports   []CrashReport   `cbor:"19,keyasint,omitempty"`
	CrashRebuttals []CrashRebuttal `cbor:"20,keyasint,omitempty"`
	EndpointLimits []EndpointLimit `cbor:"21,keyasint,omitempty"`

	SlotQueries []SlotQuery `cbor:"22,keyasint,omitempty"`

	PaceReports   []PaceReport  `cbor:"23,keyasint,omitempty"`
	PaceSummaries []PaceSummary `cbor:"24,keyasint,omitempty"`
	EnginePaces   []EnginePace  `cbor:"25,keyasint,omitempty"`
}

// Add appends m to the list of its type.
func (e *Envelope) Add(m Message) {
	switch m := m.(type) {
	case Heartbeat:
		e.Heartbeats = append(e.Heartbeats, m)
	case SlotRequest:
		e.SlotRequests = append(e.SlotRequests, m)
	case SlotGrant:
		e.SlotGrants = append(e.SlotGrants, m)
	case SlotRefusal:
		e.SlotRefusals = append(e.SlotRefusals, m)
	case SlotUpdate:
		e.SlotUpdates = append(e.SlotUpdates, m)
	case SlotHold:
		e.SlotHolds = append(e.SlotHolds, m)
	case TokenRequest:
		e.TokenRequests = append(e.TokenRequests, m)
	case TokenTransfer:
		e.TokenTransfers = append(e.TokenTransfers, m)
	case TokenReturn:
		e.TokenReturns = append(e.TokenReturns, m)
	case ClaimRequest:
		e.ClaimRequests = append(e.ClaimRequests, m)
	case ClaimReply:
		e.ClaimReplies = append(e.ClaimReplies, m)
	case ClaimSettle:
		e.ClaimSettles = append(e.ClaimSettles, m)
	case TableRequest:
		e.TableRequests = append(e.TableRequests, m)
	case TableReply:
		e.TableReplies = append(e.TableReplies, m)
	case PlatformUpdate:
		e.PlatformUpdates = append(e.PlatformUpdates, m)
	case Broadcast:
		e.Broadcasts = append(e.Broadcasts, m)
	case CrashReport:
		e.CrashReports = append(e.CrashReports, m)
	case CrashRebuttal:
		e.CrashRebuttals = append(e.CrashRebuttals, m)
	case EndpointLimit:
		e.EndpointLimits = append(e.EndpointLimits, m)
	case SlotQuery:
		e.SlotQueries = append(e.SlotQueries, m)
	case PaceReport:
		e.PaceReports = append(e.PaceReports, m)
	case PaceSummary:
		e.PaceSummaries = append(e.PaceSummaries, m)
	case EnginePace:
		e.EnginePaces = append(e.EnginePaces, m)
	}
}

// Messages returns the messages of the batch, grouped by type. SlotHolds precede
// SlotUpdates, so that a new scheduler registers an attempt before the attempt ends.
// SlotUpdates precede SlotRequests, so that the scheduler knows why an attempt failed
// before it places the next one. The same holds for EnginePaces.
func (e *Envelope) Messages() []Message {
	var out []Message
	for _, m := range e.Heartbeats {
		out = append(out, m)
	}
	for _, m := range e.TableReplies {
		out = append(out, m)
	}
	for _, m := range e.PlatformUpdates {
		out = append(out, m)
	}
	for _, m := range e.Broadcasts {
		out = append(out, m)
	}
	for _, m := range e.CrashReports {
		out = append(out, m)
	}
	for _, m := range e.CrashRebuttals {
		out = append(out, m)
	}
	for _, m := range e.EndpointLimits {
		out = append(out, m)
	}
	for _, m := range e.TableRequests {
		out = append(out, m)
	}
	for _, m := range e.SlotHolds {
		out = append(out, m)
	}
	for _, m := range e.SlotUpdates {
		out = append(out, m)
	}
	for _, m := range e.EnginePaces {
		out = append(out, m)
	}
	for _, m := range e.SlotRequests {
		out = append(out, m)
	}
	for _, m := range e.SlotGrants {
		out = append(out, m)
	}
	for _, m := range e.SlotRefusals {
		out = append(out, m)
	}
	for _, m := range e.SlotQueries {
		out = append(out, m)
	}
	for _, m := range e.TokenReturns {
		out = append(out, m)
	}
	for _, m := range e.TokenRequests {
		out = append(out, m)
	}
	for _, m := range e.TokenTransfers {
		out = append(out, m)
	}
	for _, m := range e.ClaimRequests {
		out = append(out, m)
	}
	for _, m := range e.ClaimReplies {
		out = append(out, m)
	}
	for _, m := range e.ClaimSettles {
		out = append(out, m)
	}
	for _, m := range e.PaceReports {
		out = append(out, m)
	}
	for _, m := range e.PaceSummaries {
		out = append(out, m)
	}
	return out
}
