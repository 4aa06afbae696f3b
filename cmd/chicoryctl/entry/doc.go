// Package entry implements the command line of chicoryctl, with one file for
// each verb.
package entry
