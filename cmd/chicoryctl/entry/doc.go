// Package entry implements the command line of chicoryctl. Each verb is in the file
// with its name.
package entry
