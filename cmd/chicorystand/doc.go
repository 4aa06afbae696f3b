// Command chicorystand is described by "chicorystand help".
package main
