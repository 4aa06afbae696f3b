// Package entry implements the command line of chicorybench, with one file for
// each verb.
package entry
