package message

import "ragwortshunt.example/fleet/id"

// Envelope is one batch of messages from one host to another.
type Envelope struct {
	From        id.Host        `cbor:"1,keyasint"`
	Incarnation id.Incarnation `cbor:"2,keyasint"`

	Heartbeats   []Heartbeat   `cbor:"3,keyasint,omitempty"`
	SlotAsks     []SlotAsk     `cbor:"4,keyasint,omitempty"`
	SlotGrants   []SlotGrant   `cbor:"5,keyasint,omitempty"`
	SlotRefuses  []SlotRefuse  `cbor:"6,keyasint,omitempty"`
	SlotUpdates  []SlotUpdate  `cbor:"7,keyasint,omitempty"`
	SlotHolds    []SlotHold    `cbor:"8,keyasint,omitempty"`
	TokenAsks    []TokenAsk    `cbor:"9,keyasint,omitempty"`
	TokenGives   []TokenGive   `cbor:"10,keyasint,omitempty"`
	TokenReturns []TokenReturn `cbor:"11,keyasint,omitempty"`
	ClaimAsks    []ClaimAsk    `cbor:"12,keyasint,omitempty"`
	ClaimReplies []ClaimReply  `cbor:"13,keyasint,omitempty"`
	ClaimSettles []ClaimSettle `cbor:"14,keyasint,omitempty"`
	TableAsks    []TableAsk    `cbor:"15,keyasint,omitempty"`
	TableGives   []TableGive   `cbor:"16,keyasint,omitempty"`

	PlatformGives []PlatformGive `cbor:"17,keyasint,omitempty"`
}

// Add appends m to the list of its type.
func (e *Envelope) Add(m Message) {
	switch m := m.(type) {
	case Heartbeat:
		e.Heartbeats = append(e.Heartbeats, m)
	case SlotAsk:
		e.SlotAsks = append(e.SlotAsks, m)
	case SlotGrant:
		e.SlotGrants = append(e.SlotGrants, m)
	case SlotRefuse:
		e.SlotRefuses = append(e.SlotRefuses, m)
	case SlotUpdate:
		e.SlotUpdates = append(e.SlotUpdates, m)
	case SlotHold:
		e.SlotHolds = append(e.SlotHolds, m)
	case TokenAsk:
		e.TokenAsks = append(e.TokenAsks, m)
	case TokenGive:
		e.TokenGives = append(e.TokenGives, m)
	case TokenReturn:
		e.TokenReturns = append(e.TokenReturns, m)
	case ClaimAsk:
		e.ClaimAsks = append(e.ClaimAsks, m)
	case ClaimReply:
		e.ClaimReplies = append(e.ClaimReplies, m)
	case ClaimSettle:
		e.ClaimSettles = append(e.ClaimSettles, m)
	case TableAsk:
		e.TableAsks = append(e.TableAsks, m)
	case TableGive:
		e.TableGives = append(e.TableGives, m)
	case PlatformGive:
		e.PlatformGives = append(e.PlatformGives, m)
	}
}

// Messages returns the messages of the batch, grouped by type. SlotHolds precede
// SlotUpdates, so that a new scheduler registers an attempt before the attempt ends.
// SlotUpdates precede SlotAsks, so that the scheduler knows why an attempt failed
// before it places the next one.
func (e *Envelope) Messages() []Message {
	var out []Message
	for _, m := range e.Heartbeats {
		out = append(out, m)
	}
	for _, m := range e.TableGives {
		out = append(out, m)
	}
	for _, m := range e.PlatformGives {
		out = append(out, m)
	}
	for _, m := range e.TableAsks {
		out = append(out, m)
	}
	for _, m := range e.SlotHolds {
		out = append(out, m)
	}
	for _, m := range e.SlotUpdates {
		out = append(out, m)
	}
	for _, m := range e.SlotAsks {
		out = append(out, m)
	}
	for _, m := range e.SlotGrants {
		out = append(out, m)
	}
	for _, m := range e.SlotRefuses {
		out = append(out, m)
	}
	for _, m := range e.TokenReturns {
		out = append(out, m)
	}
	for _, m := range e.TokenAsks {
		out = append(out, m)
	}
	for _, m := range e.TokenGives {
		out = append(out, m)
	}
	for _, m := range e.ClaimAsks {
		out = append(out, m)
	}
	for _, m := range e.ClaimReplies {
		out = append(out, m)
	}
	for _, m := range e.ClaimSettles {
		out = append(out, m)
	}
	return out
}
