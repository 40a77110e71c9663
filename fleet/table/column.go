package table

import (
	"slices"
	"time"
)

// Kind tells what a row describes.
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

// The names of the columns. A name carries the unit of its values.
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

// columnIndexes holds the places of the columns by name.
var columnIndexes = indexColumns()

func indexColumns() map[string]int {
	out := make(map[string]int, len(columns))
	for i, name := range columns {
		out[name] = i
	}
	return out
}

// columnIndex returns the place of a column, or -1 for an unknown column.
func columnIndex(name string) int {
	if i, ok := columnIndexes[name]; ok {
		return i
	}
	return -1
}

// number describes the values of a numeric column.
type number struct {
	column   string
	min, max int64 // inclusive
	def      int64 // value of a blank cell, unless required
	required bool
}

// maxTokensNumber bounds counts of tokens and rates. A count of tokens times
// the nanoseconds of one second then still fits an int64.
const maxTokensNumber = 1_000_000_000

// The numeric columns.
var (
	weightNumber      = number{column: colWeight, min: 1, max: 1_000_000, def: 1}
	rateNumber        = number{column: colRate, min: 1, max: maxTokensNumber, required: true}
	burstNumber       = number{column: colBurst, min: 1, max: maxTokensNumber, required: true}
	slotsNumber       = number{column: colSlots, min: 1, max: 100_000, required: true}
	blocksNumber      = number{column: colBlocks, min: 1, max: maxTokensNumber, required: true}
	blockTokensNumber = number{column: colBlockTokens, min: 1, max: maxTokensNumber, def: 4000}
	prefillRateNumber = number{column: colPrefillRate, min: 1, max: maxTokensNumber, required: true}
	linkRateNumber    = number{column: colLinkRate, min: 1, max: maxTokensNumber, required: true}
	maxQueueNumber    = number{column: colMaxQueue, min: 1, max: 1_000_000, def: 1000}
	firstTokenNumber  = number{column: colFirstToken, min: 1, max: 3_600_000, def: 570}
	betweenNumber     = number{column: colBetweenTokens, min: 1, max: 60_000, def: 51}
	stalenessNumber   = number{column: colMaxStaleness, min: 0, max: 2_592_000, def: 900}
	maxTokensColumn   = number{column: colMaxTokens, min: 1, max: 1_000_000, def: 1024}
)

// The units of the duration columns.
const (
	unitTarget    = time.Millisecond
	unitStaleness = time.Second
)
