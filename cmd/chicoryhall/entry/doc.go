// Package entry is the command line of chicoryhall: the table of its verbs, with each
// verb in a file of its own.
package entry
