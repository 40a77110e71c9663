package object

// ReadResult is the result of reading an object.
type ReadResult struct {
	Name    string
	Version uint64 // 0 if the object does not exist
	Value   []byte
	Failed  bool // the read failed
}

// WriteOutcome states what is known about a conditional update.
type WriteOutcome uint8

// The outcomes of a conditional update.
const (
	WriteDone     WriteOutcome = iota + 1
	WriteConflict              // another version is stored
	WriteUnknown               // the reply was lost; the update may still take effect
	WriteFailed                // the update certainly did not and will not take effect
)

// WriteResult is the result of a conditional update.
type WriteResult struct {
	Name    string
	Version uint64 // new version; set with WriteDone
	Outcome WriteOutcome
}
