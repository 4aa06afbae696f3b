package digest_test

import (
	"testing"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall/digest"
)

const layers = 5

// generate runs the model with one free value per position; skip leaves out one layer at one position.
func generate(model digest.Model, prompt []digest.Token, free []uint32, skipPosition, skipLayer int) []digest.Token {
	kv := make([]digest.KV, layers)
	var out digest.Activation
	run := func(position int, token digest.Token) {
		out = digest.Embed(model, token)
		for layer := range kv {
			if position == skipPosition && layer == skipLayer {
				continue
			}
			kv[layer], out = digest.Layer(model, layer, kv[layer], out)
		}
	}
	for _, token := range prompt {
		run(-1, token)
	}
	answer := make([]digest.Token, 0, len(free))
	for position, value := range free {
		token := digest.Sample(out, value)
		answer = append(answer, token)
		run(position, token)
	}
	return answer
}

func TestVerify(t *testing.T) {
	model := digest.ModelOf("drafter", "1")
	prompt := digest.Prompt("banquet hall for three hundred guests")
	first := generate(model, prompt, []uint32{1, 2, 3, 4}, -1, -1)
	second := generate(model, prompt, []uint32{5, 6, 7, 8}, -1, -1)
	cases := []struct {
		name   string
		answer []digest.Token
		want   int
	}{
		{"whole answer", first, -1},
		{"other sampling", second, -1},
		{"mixture of two runs", append(append([]digest.Token{}, first[:2]...), second[2:]...), 2},
		{"repeated token", append(append([]digest.Token{}, first[:2]...), first[1:]...), 2},
		{"skipped layer", generate(model, prompt, []uint32{1, 2, 3, 4}, 1, 2), 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			must.Eq(t, c.want, digest.Verify(model, layers, prompt, c.answer))
		})
	}
}
