package entry

import "chicoryhall.example/chicoryhall/command"

// program lists every verb of chicorystand.
var program = command.Program{
	Name:    "chicorystand",
	Summary: "stands in for engines, plain services, the platform, the balancer and faulty links",
	Verbs:   []command.Verb{engineVerb, plainVerb, platformVerb, balancerVerb, proxyVerb, hallVerb},
}

// Main runs chicorystand and exits.
func Main() {
	program.Main()
}
