package check_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"ragwortshunt.example/load/internal/check"
	"ragwortshunt.example/standin/answer"
)

const (
	prompt = "why was this crate refused"
	limit  = 8
)

func tokens() []string {
	var out []string
	for i := range int64(limit) {
		out = append(out, answer.Token(prompt, i))
	}
	return out
}

// Guards against wrong answers that pass and right ones that do not.
func TestAnswer(t *testing.T) {
	good := tokens()
	swapped := slices.Clone(good)
	swapped[2], swapped[3] = swapped[3], swapped[2]
	for _, test := range []struct {
		name   string
		parts  []string
		finish string
		right  bool
	}{
		{"whole", good, "length", true},
		{"in parts across tokens", []string{answer.For(prompt).Text(limit)[:5], answer.For(prompt).Text(limit)[5:]}, "length", true},
		{"short", good[:limit-1], "length", false},
		{"cut within a token", append(slices.Clone(good[:limit-1]), good[limit-1][:2]), "length", false},
		{"empty", nil, "length", false},
		{"token doubled", slices.Insert(slices.Clone(good), 3, good[3]), "length", false},
		{"answer doubled", append(slices.Clone(good), good...), "length", false},
		{"token missing", slices.Delete(slices.Clone(good), 3, 4), "length", false},
		{"reordered", swapped, "length", false},
		{"answer to another prompt", []string{answer.For("other").Text(limit)}, "length", false},
		{"too long", append(slices.Clone(good), answer.Token(prompt, limit)), "length", false},
		{"wrong finish", good, "stop", false},
		{"no finish", good, "", false},
	} {
		err := verify(test.parts, test.finish)
		assert.Equal(t, err == nil, test.right, "%s: %v", test.name, err)
	}
}

func verify(parts []string, finish string) error {
	a := check.New(prompt, limit)
	for _, part := range parts {
		if err := a.Add(part); err != nil {
			return err
		}
	}
	return a.End(finish)
}

// Guards against an answer that must stop by itself and is taken for cut.
func TestNaturalEnd(t *testing.T) {
	const high = 1_000_000
	n := answer.Length(prompt, high)
	a := check.New(prompt, high)
	assert.NilError(t, a.Add(answer.For(prompt).Text(n)))
	assert.NilError(t, a.End(answer.FinishStop))
	assert.Equal(t, a.Tokens(), n)
}
