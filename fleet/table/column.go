package table

import (
	"slices"
	"time"
)

// Kind is the type of object that a row describes.
type Kind string

// The kinds of rows, in the order of the canonical form.
const (
	KindAccount  Kind = "account"
	KindPool     Kind = "pool"
	KindEndpoint Kind = "endpoint"
	KindRoute    Kind = "route"
	KindKey      Kind = "key"
)

// Kinds returns all kinds of rows in the order of the canonical form.
func Kinds() []Kind {
	return []Kind{KindAccount, KindPool, KindEndpoint, KindRoute, KindKey}
}

// The names of the columns. Names of columns with a unit end in the unit.
const (
	colKind          = "kind"
	colName          = "name"
	colAccount       = "account"
	colWeight        = "weight"
	colRate          = "rate-tokens-per-s"
	colBurst         = "burst-tokens"
	colRole          = "role"
	colModel         = "model"
	colPool          = "pool"
	colZone          = "zone"
	colAddress       = "address"
	colFencing       = "fencing"
	colState         = "state"
	colSlots         = "slots"
	colBlocks        = "blocks"
	colBlockTokens   = "block-tokens"
	colPrefillRate   = "prefill-tokens-per-s"
	colLinkRate      = "link-tokens-per-s"
	colMaxQueue      = "max-queue"
	colClass         = "class"
	colFirstToken    = "first-token-ms"
	colBetweenTokens = "between-tokens-ms"
	colOpen          = "open"
	colIdempotent    = "idempotent"
	colCanWait       = "can-wait"
	colMaxStaleness  = "max-staleness-s"
	colMaxTokens     = "max-tokens"
	colSalt          = "salt"
	colHash          = "hash"
)

// columns holds all columns in the order of the canonical form.
var columns = [...]string{
	colKind, colName, colAccount, colWeight, colRate, colBurst,
	colRole, colModel, colPool, colZone, colAddress, colFencing, colState,
	colSlots, colBlocks, colBlockTokens, colPrefillRate, colLinkRate, colMaxQueue,
	colClass, colFirstToken, colBetweenTokens, colOpen, colIdempotent, colCanWait,
	colMaxStaleness, colMaxTokens, colSalt, colHash,
}

// Columns returns the names of all columns in the order of the canonical form.
func Columns() []string { return slices.Clone(columns[:]) }

// columnIndexes maps the name of each column to its index in columns.
var columnIndexes = indexColumns()

func indexColumns() map[string]int {
	out := make(map[string]int, len(columns))
	for i, name := range columns {
		out[name] = i
	}
	return out
}

// columnIndex returns the index of a column in columns, or -1 for an unknown column.
func columnIndex(name string) int {
	if i, ok := columnIndexes[name]; ok {
		return i
	}
	return -1
}

// numericColumn describes the valid values of a column of integers.
type numericColumn struct {
	column   string
	min, max int64 // inclusive
	def      int64 // value of a blank cell if not required
	required bool
}

// maxTokenCount limits token counts and rates, so that a count multiplied by the
// nanoseconds of one second fits into an int64.
const maxTokenCount = 1_000_000_000

// The numeric columns.
var (
	weightColumn        = numericColumn{column: colWeight, min: 1, max: 1_000_000, def: 1}
	rateColumn          = numericColumn{column: colRate, min: 1, max: maxTokenCount, required: true}
	burstColumn         = numericColumn{column: colBurst, min: 1, max: maxTokenCount, required: true}
	slotsColumn         = numericColumn{column: colSlots, min: 1, max: 100_000, required: true}
	blocksColumn        = numericColumn{column: colBlocks, min: 1, max: maxTokenCount, required: true}
	blockTokensColumn   = numericColumn{column: colBlockTokens, min: 1, max: maxTokenCount, def: 4000}
	prefillRateColumn   = numericColumn{column: colPrefillRate, min: 1, max: maxTokenCount, required: true}
	linkRateColumn      = numericColumn{column: colLinkRate, min: 1, max: maxTokenCount, required: true}
	maxQueueColumn      = numericColumn{column: colMaxQueue, min: 1, max: 1_000_000, def: 1000}
	firstTokenColumn    = numericColumn{column: colFirstToken, min: 1, max: 3_600_000, def: 570}
	betweenTokensColumn = numericColumn{column: colBetweenTokens, min: 1, max: 60_000, def: 51}
	stalenessColumn     = numericColumn{column: colMaxStaleness, min: 0, max: 2_592_000, def: 900}
	maxTokensColumn     = numericColumn{column: colMaxTokens, min: 1, max: 1_000_000, def: 1024}
)

// The units of the duration columns.
const (
	unitTarget    = time.Millisecond
	unitStaleness = time.Second
)
