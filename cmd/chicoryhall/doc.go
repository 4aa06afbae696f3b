// Command chicoryhall is described by "chicoryhall help".
package main
