// Package check verifies answers token by token. The stand-in engines generate a
// deterministic answer for each prompt, so the expected tokens are known.
package check

import (
	"fmt"
	"strings"

	"ragwortshunt.example/standin/answer"
)

// maxExcerptBytes is the maximum length of answer text in an error message, in bytes.
const maxExcerptBytes = 40

// Answer verifies one answer while it arrives. It is not safe for concurrent use.
type Answer struct {
	want      answer.Answer
	maxTokens int64
	length    int64  // expected tokens
	tokens    int64  // complete tokens received
	remaining string // rest of a token that has arrived in part
}

// New returns a verifier of the answer to prompt with at most maxTokens output tokens.
func New(prompt string, maxTokens int64) *Answer {
	want := answer.For(prompt)
	return &Answer{want: want, maxTokens: maxTokens, length: want.Length(maxTokens)}
}

// Add verifies the next piece of text of the answer. It returns an error if the text is
// not the expected continuation, for example because it is duplicated or out of order.
func (a *Answer) Add(text string) error {
	for text != "" {
		if a.remaining == "" {
			if a.tokens >= a.length {
				return fmt.Errorf("answer continues after its %d tokens: %q", a.length, truncate(text))
			}
			a.remaining = a.want.Token(a.tokens)
		}
		n := min(len(a.remaining), len(text))
		if a.remaining[:n] != text[:n] {
			return fmt.Errorf("token %d: got %q, want %q", a.tokens, truncate(text), a.remaining)
		}
		a.remaining = a.remaining[n:]
		text = text[n:]
		if a.remaining == "" {
			a.tokens++
		}
	}
	return nil
}

// End verifies that an answer that the router reported as complete is complete, and
// that the finish reason is the expected one.
func (a *Answer) End(finish string) error {
	if a.tokens != a.length || a.remaining != "" {
		return fmt.Errorf("answer was reported as complete (%q) with %d of %d tokens", finish, a.tokens, a.length)
	}
	if want := a.want.Finish(a.maxTokens); finish != want {
		return fmt.Errorf("finish reason is %q, want %q", finish, want)
	}
	return nil
}

// Tokens returns the number of complete tokens received.
func (a *Answer) Tokens() int64 { return a.tokens }

// truncate returns the start of text for an error message.
func truncate(text string) string {
	return strings.ToValidUTF8(text[:min(len(text), maxExcerptBytes)], "")
}
