// Package proof contains end-to-end tests of the guarantees of the daemons: the
// tests start daemons and stand-ins behind a fault-injecting proxy, send
// requests, inject faults, and check the answers with nothing but the stand-ins'
// ledgers and the prompts.
//
// Each scenario tests one guarantee ("promise") under one fault and has a stable
// name. "make prove" runs all scenarios and writes docs/PROOFS.md. In addition,
// TestRandomPairs injects random pairs of faults. SEED and RUNS select the seeds,
// and a failure prints the seed with which it can be repeated.
package proof
