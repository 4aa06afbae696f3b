// Command chicoryctl is described by "chicoryctl help".
package main
