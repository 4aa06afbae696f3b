// Package entry implements the command line of chicoryhall, with one file for
// each verb.
package entry
