package check_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/load/internal/check"
	"ragwortshunt.example/standin/answer"
)

const (
	prompt    = "why was this crate refused"
	maxTokens = 8
)

func tokens() []string {
	var out []string
	for i := range int64(maxTokens) {
		out = append(out, answer.Token(prompt, i))
	}
	return out
}

// Guards against a verifier that accepts a truncated, duplicated, reordered or foreign
// answer, or rejects a correct one.
func TestAnswer(t *testing.T) {
	complete := tokens()
	swapped := slices.Clone(complete)
	swapped[2], swapped[3] = swapped[3], swapped[2]
	for _, test := range []struct {
		name   string
		chunks []string
		finish string
		wantOK bool
	}{
		{"complete", complete, "length", true},
		{"split into two chunks", []string{answer.For(prompt).Text(maxTokens)[:5], answer.For(prompt).Text(maxTokens)[5:]}, "length", true},
		{"truncated", complete[:maxTokens-1], "length", false},
		{"truncated within a token", append(slices.Clone(complete[:maxTokens-1]), complete[maxTokens-1][:2]), "length", false},
		{"empty", nil, "length", false},
		{"token duplicated", slices.Insert(slices.Clone(complete), 3, complete[3]), "length", false},
		{"answer duplicated", append(slices.Clone(complete), complete...), "length", false},
		{"token missing", slices.Delete(slices.Clone(complete), 3, 4), "length", false},
		{"reordered", swapped, "length", false},
		{"answer to another prompt", []string{answer.For("other").Text(maxTokens)}, "length", false},
		{"too long", append(slices.Clone(complete), answer.Token(prompt, maxTokens)), "length", false},
		{"wrong finish reason", complete, "stop", false},
		{"no finish reason", complete, "", false},
	} {
		err := verify(test.chunks, test.finish)
		assert.Equal(t, err == nil, test.wantOK, "%s: %v", test.name, err)
	}
}

func verify(chunks []string, finish string) error {
	a := check.New(prompt, maxTokens)
	for _, chunk := range chunks {
		if err := a.Add(chunk); err != nil {
			return err
		}
	}
	return a.End(finish)
}

// Guards against an answer that ends before its token limit and is mistaken for a
// truncated one.
func TestNaturalEnd(t *testing.T) {
	const high = 1_000_000
	n := answer.Length(prompt, high)
	a := check.New(prompt, high)
	assert.NilError(t, a.Add(answer.For(prompt).Text(n)))
	assert.NilError(t, a.End(answer.FinishStop))
	assert.Equal(t, a.Tokens(), n)
}
