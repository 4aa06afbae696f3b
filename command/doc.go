// Package command implements command lines that consist of verbs (subcommands):
// it selects and runs the verb, prints usage texts and the reference page, and
// reports errors with the program's name and a non-zero exit status.
package command
