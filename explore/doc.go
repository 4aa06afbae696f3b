// Package explore visits every state that a small model can reach and checks a
// promise in each; tests use it to prove decisions over all orders of events.
package explore
