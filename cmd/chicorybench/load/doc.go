// Package load executes a plan: it sends the requests and injects the faults, each
// at its time. The load is open-loop, so a request is sent when it is due even if
// earlier ones are unanswered, each in a goroutine of its own. Only if very many
// requests are unanswered, further ones are dropped and counted.
//
// The times, prompts and sizes depend only on the plan's seed. The idempotency
// keys also contain the current time, so that a repeated run does not get the
// answers of an earlier one. The bodies for plain services start with the key, so
// that they differ from run to run as well.
package load
