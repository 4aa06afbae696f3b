// Command chicoryhall is described by "chicoryhall help".
package main

import "chicoryhall.example/chicoryhall/cmd/chicoryhall/entry"

func main() {
	entry.Main()
}
