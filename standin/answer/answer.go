// Package answer defines the answers that stand-in engines generate. Every token
// is a pure function of the prompt and its offset, so that a caller can verify a
// whole answer. Words that are separated by white space count as tokens.
package answer

import (
	"math/bits"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// The natural length of an answer, in tokens, lies between minLength and
// minLength+lengthSpread-1.
const (
	minLength    = 16
	lengthSpread = 496
)

// The reasons why an answer ends.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Answer generates the answer to one prompt.
type Answer struct{ seed uint64 }

// For returns the answer to prompt. It reads the prompt once, which makes it
// cheaper than repeated calls of Token.
func For(prompt string) Answer {
	return Answer{seed: xxhash.Sum64String(prompt)}
}

// Token returns the token at offset i, with a leading space unless i is 0.
func (a Answer) Token(i int64) string {
	word := strconv.FormatUint(mix(a.seed+uint64(i)+1)>>32, 36)
	if i == 0 {
		return word
	}
	return " " + word
}

// Length returns the number of tokens of the answer under limit.
func (a Answer) Length(limit int64) int64 {
	return min(a.natural(), limit)
}

// Finish returns the reason why the answer ends under limit.
func (a Answer) Finish(limit int64) string {
	if a.natural() > limit {
		return FinishLength
	}
	return FinishStop
}

// Text returns the text of the first n tokens.
func (a Answer) Text(n int64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

func (a Answer) natural() int64 {
	return minLength + int64(mix(a.seed)%lengthSpread)
}

// Token returns the token at offset i of the answer to prompt.
func Token(prompt string, i int64) string {
	return For(prompt).Token(i)
}

// Length returns the number of tokens of the answer to prompt under limit.
func Length(prompt string, limit int64) int64 {
	return For(prompt).Length(limit)
}

// Words returns the number of tokens of text.
func Words(text string) int64 {
	return int64(len(strings.Fields(text)))
}

// Prefix returns the hash of the first block of prompt, which names it in cache
// events: xxhash64 of the first blockTokens words, joined by single spaces. A
// prompt with fewer words has the prefix 0.
func Prefix(prompt string, blockTokens int64) uint64 {
	words := strings.Fields(prompt)
	if blockTokens <= 0 || int64(len(words)) < blockTokens {
		return 0
	}
	return xxhash.Sum64String(strings.Join(words[:blockTokens], " "))
}

// mix spreads the bits of x over the result.
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	x = hi ^ lo
	hi, lo = bits.Mul64(x^0xe7037ed1a0b428db, 0xa0761d6478bd642f)
	return hi ^ lo
}
