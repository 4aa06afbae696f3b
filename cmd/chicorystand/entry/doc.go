// Package entry implements the command line of chicorystand, with one file for
// each verb.
package entry
