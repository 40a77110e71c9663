package order

import (
	"time"

	"ragwortshunt.example/fleet/engine"
	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/table"
)

type Config struct {
	Host                       id.Host
	Incarnation                id.Incarnation
	Zone                       id.Zone
	Lease, Margin, MaxInFlight time.Duration
}

func DefaultConfig() Config { return Config{} }

type Want struct {
	Endpoint id.Endpoint
	Role     table.Role
	Model    id.Model
	Version  string
	Fencing  table.Fencing
}
type State struct{}

func New(cfg Config) *State { return &State{} }
func SetWants(s *State, now time.Time, wants []Want, leader bool) []Action {
	return nil
}

type ObjectRead struct {
	Name    string
	Version uint64
	Value   []byte
	Failed  bool
}
type ObjectWritten struct {
	Name    string
	Version uint64
	Outcome WriteOutcome
}
type WriteOutcome uint8

const (
	WriteDone WriteOutcome = iota + 1
	WriteConflict
	WriteUnknown
	WriteFailed
)

type OrderResult struct {
	Endpoint    id.Endpoint
	Fence       uint64
	Done, Stale bool
}

func HandleRead(s *State, now time.Time, r ObjectRead) []Action      { return nil }
func HandleWrite(s *State, now time.Time, w ObjectWritten) []Action  { return nil }
func HandleResult(s *State, now time.Time, r OrderResult) []Action   { return nil }
func Tick(s *State, now time.Time) []Action                          { return nil }
func Check(s *State) error                                           { return nil }

type Action interface{ isAction() }
type Read struct{ Name string }
type Write struct {
	Name      string
	IfVersion uint64
	Value     []byte
}
type SendOrder struct {
	Endpoint id.Endpoint
	Order    engine.Order
	NotAfter time.Time
}

func (Read) isAction()      {}
func (Write) isAction()     {}
func (SendOrder) isAction() {}
