// Package plan reads the YAML file that describes an experiment: the traffic to
// send, the faults to inject meanwhile, and the stand-ins whose ledgers are used
// to check the answers.
package plan
