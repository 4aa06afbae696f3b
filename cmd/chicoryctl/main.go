package main

import "chicoryhall.example/chicoryhall/cmd/chicoryctl/entry"

func main() {
	entry.Main()
}
