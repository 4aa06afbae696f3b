// Package entry implements the subcommands of chicorystand, which package command
// calls verbs. Each has a file. The type process runs the stand-ins of all of them but
// "hall": it opens their control endpoint if it has an address, and on SIGTERM it
// drains and stops them. The platform of "hall" opens its control endpoint itself and
// is stopped without draining.
package entry
