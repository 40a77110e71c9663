package object

// ReadResult is what a read of an object has shown.
type ReadResult struct {
	Name    string
	Version uint64 // 0 if the object does not exist
	Value   []byte
	Failed  bool
}

// WriteOutcome tells what is known of a conditional update.
type WriteOutcome uint8

// The outcomes of a conditional update.
const (
	WriteDone     WriteOutcome = iota + 1
	WriteConflict              // another version is stored
	WriteUnknown               // the reply was lost; the update may still take effect
	WriteFailed                // the update certainly did not and will not take effect
)

// WriteResult is the end of a conditional update.
type WriteResult struct {
	Name    string
	Version uint64 // new version, with WriteDone
	Outcome WriteOutcome
}
