package digest

// Verify returns the first position of the answer whose token is wrong for the prompt and the tokens before it, or -1.
func Verify(model Model, layers int, prompt, answer []Token) int {
	kv := make([]KV, layers)
	var out Activation
	run := func(token Token) {
		out = Embed(model, token)
		for layer := range kv {
			kv[layer], out = Layer(model, layer, kv[layer], out)
		}
	}
	for _, token := range prompt {
		run(token)
	}
	for position, token := range answer {
		if !Allows(out, token) {
			return position
		}
		run(token)
	}
	return -1
}
