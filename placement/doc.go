// Package placement makes the engines of a failure domain hold what the
// documents say, and changes a model's version without a cut-off request.
//
// Plan is pure: from the documents and the engines' own reports it returns the
// absolute state that each engine shall reach. A new version is loaded beside
// the old one, a few engines at a time, as the weight store's rate is limited.
// Serving lets the daemons route by the old version until a chain of engines
// holds the new one. The old one is dropped only when that chain has stood for
// longer than any request of the old version may run.
package placement
