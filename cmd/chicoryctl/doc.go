// Command chicoryctl is the command line client of the operator API, with which
// teams check, apply and read the documents of their services. "chicoryctl help"
// describes its verbs.
package main
