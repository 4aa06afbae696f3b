// Package entry is the command line of chicoryctl: the table of its verbs, with each
// verb in a file of its own.
package entry
