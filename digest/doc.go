// Package digest defines the model that the stand-in engines compute in place of
// a language model. It uses hashes for weights, activations and KV caches, so
// that an answer can be verified with nothing but its prompt.
//
// The KV state of each layer is a hash over the layer's inputs at all earlier
// positions. The activation of a position is hashed through all layers together
// with their KV states, so a skipped, repeated, reordered or stale layer changes
// every later token. The low bits of a token are chosen freely by the engine, as
// by sampling. They differ between runs and are part of the input of the next
// position, so a mixture of two runs does not pass verification.
package digest
