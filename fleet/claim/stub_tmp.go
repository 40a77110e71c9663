package claim

import (
	"time"

	"ragwortshunt.example/fleet/id"
	"ragwortshunt.example/fleet/message"
)

type Config struct {
	Host                           id.Host
	Shards                         int
	Flush, ReplyTimeout, Retention time.Duration
	MaxOutcome                     int
}

func DefaultConfig() Config { return Config{Shards: 8} }

type State struct{}

func New(cfg Config) *State                                     { return &State{} }
func Shard(cfg Config, account id.Account, key string) string   { return "s-0" }
func Claim(s *State, now time.Time, req id.Request, c message.Claim, owner id.Host, wall time.Time) []Action {
	return []Action{Result{Request: req, Won: true}}
}
func HandleAsk(s *State, now time.Time, from id.Host, m message.ClaimAsk, wall time.Time) []Action {
	return nil
}
func HandleReply(s *State, now time.Time, m message.ClaimReply) []Action                { return nil }
func Settle(s *State, now time.Time, m message.ClaimSettle, owner id.Host) []Action     { return nil }

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

func HandleRead(s *State, now time.Time, r ObjectRead) []Action     { return nil }
func HandleWrite(s *State, now time.Time, w ObjectWritten) []Action { return nil }
func Tick(s *State, now time.Time) []Action                         { return nil }
func Abandon(s *State, req id.Request)                              {}
func Check(s *State) error                                          { return nil }

type Action interface{ isAction() }
type Read struct{ Name string }
type Write struct {
	Name      string
	IfVersion uint64
	Value     []byte
}
type Send struct {
	To      id.Host
	Message message.Message
}
type Result struct {
	Request                         id.Request
	Won, Mismatch, Expired, Unavailable bool
	State                           message.ClaimState
	Outcome                         []byte
}

func (Read) isAction()   {}
func (Write) isAction()  {}
func (Send) isAction()   {}
func (Result) isAction() {}
