package main

import "chicoryhall.example/chicoryhall/cmd/chicoryhall/entry"

func main() {
	entry.Main()
}
