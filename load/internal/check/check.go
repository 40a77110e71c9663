// Package check verifies answers token by token against the answers that the
// stand-in engines generate.
package check

import (
	"fmt"
	"strings"

	"ragwortshunt.example/standin/answer"
)

// excerpt bounds the text that an error shows, in bytes.
const excerpt = 40

// Answer verifies one answer while it arrives.
type Answer struct {
	want   answer.Answer
	limit  int64
	length int64
	tokens int64  // complete tokens received
	rest   string // part of the current token that is still missing
}

// New returns the check of the answer to prompt under the output limit.
func New(prompt string, limit int64) *Answer {
	want := answer.For(prompt)
	return &Answer{want: want, limit: limit, length: want.Length(limit)}
}

// Add verifies the next part of the answer. It returns an error if the part is
// not what follows, for example because it is doubled or out of order.
func (a *Answer) Add(text string) error {
	for text != "" {
		if a.rest == "" {
			if a.tokens >= a.length {
				return fmt.Errorf("answer goes on after its %d tokens: %q", a.length, cut(text))
			}
			a.rest = a.want.Token(a.tokens)
		}
		n := min(len(a.rest), len(text))
		if a.rest[:n] != text[:n] {
			return fmt.Errorf("token %d: got %q, want %q", a.tokens, cut(text), a.rest)
		}
		a.rest = a.rest[n:]
		text = text[n:]
		if a.rest == "" {
			a.tokens++
		}
	}
	return nil
}

// End verifies that an answer that is reported as complete is whole.
func (a *Answer) End(finish string) error {
	if a.tokens != a.length || a.rest != "" {
		return fmt.Errorf("answer ended as complete (%q) with %d of %d tokens", finish, a.tokens, a.length)
	}
	if want := a.want.Finish(a.limit); finish != want {
		return fmt.Errorf("finish reason is %q, want %q", finish, want)
	}
	return nil
}

// Tokens returns the number of complete tokens received.
func (a *Answer) Tokens() int64 { return a.tokens }

func cut(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), excerpt)], "")
}
