// Package plan reads the YAML file that describes one experiment: the traffic
// to send, the faults to set on the way and the stand-ins whose ledgers judge it.
package plan
