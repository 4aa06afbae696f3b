package entry

import "chicoryhall.example/chicoryhall/command"

// program lists every verb of chicorybench.
var program = command.Program{
	Name:    "chicorybench",
	Summary: "sends load to daemons, checks the answers, compares results and measures how costs grow",
	Verbs:   []command.Verb{layoutVerb, loadVerb, showVerb, compareVerb, reportVerb, plotVerb, slopesVerb, observeVerb, capacityVerb},
}

// Main runs chicorybench and exits.
func Main() {
	program.Main()
}
