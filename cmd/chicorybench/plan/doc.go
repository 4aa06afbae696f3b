// Package plan reads the YAML file that describes one run of chicorybench: the
// traffic to send, the faults to inject meanwhile, and the addresses of the
// ledgers to read after the run.
//
// The daemons under test send their requests to stand-ins, which are programs
// that imitate engines, plain services and the platform. A stand-in records in
// its ledger which requests it ran. At its control address it serves the ledger
// and accepts the faults to simulate.
package plan
