package entry

import "chicoryhall.example/chicoryhall/command"

// program is the chicorystand program with all its subcommands.
var program = command.Program{
	Name:    "chicorystand",
	Summary: "simulates engines, plain services, platforms, the load balancer and faulty links",
	Verbs:   []command.Verb{engineVerb, plainVerb, platformVerb, balancerVerb, proxyVerb, hallVerb},
}

// Main runs chicorystand and exits.
func Main() {
	program.Main()
}
