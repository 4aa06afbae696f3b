package entry

import "chicoryhall.example/chicoryhall/command"

// program lists every verb of chicoryctl.
var program = command.Program{
	Name:    "chicoryctl",
	Summary: "checks, applies and shows the documents of services",
	Verbs:   []command.Verb{checkVerb, diffVerb, applyVerb, getVerb, historyVerb, statusVerb, explainVerb, checkConfigurationVerb},
}

// Main runs chicoryctl and exits.
func Main() {
	program.Main()
}
