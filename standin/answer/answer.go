// Package answer generates the answers of simulated engines. Each token is a pure
// function of the prompt and the token's offset, so that a caller can verify a
// complete answer. A token is a word that is delimited by white space.
package answer

import (
	"math/bits"
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// An answer that is not truncated has minLength to minLength+lengthRange-1 tokens.
const (
	minLength   = 16
	lengthRange = 496
)

// Finish reasons of an answer: it is complete, or the token limit truncated it.
const (
	FinishStop   = "stop"
	FinishLength = "length"
)

// Answer generates the tokens of the answer to one prompt.
type Answer struct{ seed uint64 }

// For returns the answer to prompt. It hashes the prompt only once, which is
// cheaper than a call of the function Token for each token.
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

// Length returns the number of tokens of the answer if at most limit are allowed.
func (a Answer) Length(limit int64) int64 {
	return min(a.naturalLength(), limit)
}

// Finish returns the finish reason of the answer if at most limit tokens are allowed.
func (a Answer) Finish(limit int64) string {
	if a.naturalLength() > limit {
		return FinishLength
	}
	return FinishStop
}

// Text returns the first n tokens, joined as they appear in the answer.
func (a Answer) Text(n int64) string {
	var b strings.Builder
	for i := range n {
		b.WriteString(a.Token(i))
	}
	return b.String()
}

func (a Answer) naturalLength() int64 {
	return minLength + int64(mix(a.seed)%lengthRange)
}

// Token returns the token at offset i of the answer to prompt.
func Token(prompt string, i int64) string {
	return For(prompt).Token(i)
}

// Length returns the number of tokens of the answer to prompt if at most limit
// are allowed.
func Length(prompt string, limit int64) int64 {
	return For(prompt).Length(limit)
}

// CountTokens returns the number of tokens of text.
func CountTokens(text string) int64 {
	return int64(len(strings.Fields(text)))
}

// Prefix returns the hash that identifies the first block of prompt in cache
// events: xxhash64 of the first blockTokens words, joined by single spaces. It is
// 0 if the prompt has fewer words.
func Prefix(prompt string, blockTokens int64) uint64 {
	words := strings.Fields(prompt)
	if blockTokens <= 0 || int64(len(words)) < blockTokens {
		return 0
	}
	return xxhash.Sum64String(strings.Join(words[:blockTokens], " "))
}

// mix hashes x, so that consecutive inputs give unrelated results.
func mix(x uint64) uint64 {
	hi, lo := bits.Mul64(x^0x9e3779b97f4a7c15, 0xd6e8feb86659fd93)
	x = hi ^ lo
	hi, lo = bits.Mul64(x^0xe7037ed1a0b428db, 0xa0761d6478bd642f)
	return hi ^ lo
}
