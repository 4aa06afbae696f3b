// Package proof contains end-to-end tests of the guarantees of the daemons: the
// tests start daemons and stand-ins behind a fault-injecting proxy, send
// requests, inject faults, and check the answers. A stand-in simulates an engine,
// a plain service or the platform, and records what it ran in a ledger. Tokens are
// verified from the prompt alone (see package digest), so the checks do not rely on
// the daemons.
//
// Each scenario of TestProofs tests one promise, which is a guarantee of the
// daemons, under one fault and has a stable name. "make prove" runs all scenarios
// and writes docs/PROOFS.md. TestRandomPairs injects random pairs of faults. SEED
// and RUNS select the seeds, and a failure prints the seed with which it can be
// repeated. TestSessions runs scripts of calls. TestSoak tests daemons of
// "chicoryhall pass" on the platform simulated by "chicorystand hall".
package proof
