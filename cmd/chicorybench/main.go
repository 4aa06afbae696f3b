package main

import "chicoryhall.example/chicoryhall/cmd/chicorybench/entry"

func main() {
	entry.Main()
}
