// Command chicorystand runs simulated counterparts of the daemons (stand-ins) for
// tests, demonstrations and measurements: engines, plain services, platforms, the
// load balancer, and links into which faults can be injected. "chicorystand help"
// lists its subcommands.
package main
