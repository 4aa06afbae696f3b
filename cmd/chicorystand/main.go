package main

import "chicoryhall.example/chicoryhall/cmd/chicorystand/entry"

func main() {
	entry.Main()
}
