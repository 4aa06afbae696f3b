// Package command turns a table of verbs into a program's command line: it
// finds the verb, prints usage texts and the reference page, and reports errors
// with the program's name and a non-zero exit status.
package command
