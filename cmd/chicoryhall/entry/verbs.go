package entry

import "chicoryhall.example/chicoryhall/command"

// program lists every verb of chicoryhall.
var program = command.Program{
	Name:    "chicoryhall",
	Summary: "routes requests to pipelines of model engines and to plain services",
	Verbs:   []command.Verb{serveVerb, passVerb, checkVerb, eventsVerb},
}

// Main runs chicoryhall and exits.
func Main() {
	program.Main()
}
