// Package entry implements the subcommands of chicorystand, which package command
// calls verbs. Each has a file. All but "hall" run a stand-in in the same way, which is
// in process.go: with a control endpoint, and drained on SIGTERM.
package entry
