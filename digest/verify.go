package digest

// Verify returns the first position of the answer with a token that the model cannot produce after the prompt and the
// previous tokens, or -1 if the answer is correct.
func Verify(model Model, layers int, prompt, answer []Token) int {
	kv := make([]KV, layers)
	var out Activation
	compute := func(token Token) {
		out = Embed(model, token)
		for layer := range kv {
			kv[layer], out = Layer(model, layer, kv[layer], out)
		}
	}
	for _, token := range prompt {
		compute(token)
	}
	for position, token := range answer {
		if !Allows(out, token) {
			return position
		}
		compute(token)
	}
	return -1
}
