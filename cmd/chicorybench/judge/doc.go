// Package judge compares what the callers received with what the stand-ins
// actually ran. Its result says for each request whether it was answered once,
// completely and correctly.
package judge
