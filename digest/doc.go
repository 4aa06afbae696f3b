// Package digest defines a substitute for a language model, which the simulated
// engines compute. It uses hashes for weights, activations and KV caches. An
// answer can be verified by anyone who knows the model and the prompt.
//
// The KV state of each layer is a hash over the model and the layer's inputs at
// all positions up to the current one. The output of a layer is a hash of the
// layer's number, its input and its KV state, and is the input of the next layer.
// So a skipped, repeated, reordered or stale layer changes every later token.
//
// The engine chooses the low bits of each token at random, which takes the place
// of sampling. Two runs of a prompt therefore give different tokens. As each token
// determines the inputs of the next position, an answer composed of parts of two
// runs fails the verification.
package digest
