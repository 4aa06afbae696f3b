// Package command implements command lines that consist of verbs (subcommands):
// it selects and runs the verb, prints usage texts, also in Markdown for the
// reference page, and reports errors with a non-zero exit status and, unless
// they are marked by Unprefixed, with the program's name.
package command
