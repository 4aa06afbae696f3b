package digest_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/digest"
)

const layers = 5

// generate returns an answer to the prompt with one token for each of the sampling choices. The layer skipLayer is not
// computed at position skipPosition of the answer, where position -1 stands for the whole prompt. If skipLayer is -1, all
// layers are computed at all positions.
func generate(model digest.Model, prompt []digest.Token, choices []uint32, skipPosition, skipLayer int) []digest.Token {
	kv := make([]digest.KV, layers)
	var out digest.Activation
	compute := func(position int, token digest.Token) {
		out = digest.Embed(model, token)
		for layer := range kv {
			if position == skipPosition && layer == skipLayer {
				continue
			}
			kv[layer], out = digest.Layer(model, layer, kv[layer], out)
		}
	}
	for _, token := range prompt {
		compute(-1, token)
	}
	answer := make([]digest.Token, 0, len(choices))
	for position, choice := range choices {
		token := digest.Sample(out, choice)
		answer = append(answer, token)
		compute(position, token)
	}
	return answer
}

func TestVerify(t *testing.T) {
	model := digest.ModelOf("drafter", "1")
	prompt := digest.Tokenize("banquet hall for three hundred guests")
	first := generate(model, prompt, []uint32{1, 2, 3, 4}, -1, -1)
	second := generate(model, prompt, []uint32{5, 6, 7, 8}, -1, -1)
	cases := []struct {
		name   string
		answer []digest.Token
		want   int
	}{
		{"complete answer", first, -1},
		{"other sampling", second, -1},
		{"mixture of two runs", append(append([]digest.Token{}, first[:2]...), second[2:]...), 2},
		{"repeated token", append(append([]digest.Token{}, first[:2]...), first[1:]...), 2},
		// The skipped layer at position 1 affects the token at position 2.
		{"skipped layer", generate(model, prompt, []uint32{1, 2, 3, 4}, 1, 2), 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, digest.Verify(model, layers, prompt, c.answer))
		})
	}
}
