// Package platformdaemon builds the parts of a daemon on the users' platform and
// runs them: it passes requests through to the endpoints that the platform's
// store lists, by the rules that operators write there, and gives orders to the
// engines of its failure domain under a lease in that store.
package platformdaemon
