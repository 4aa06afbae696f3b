// Package proof proves the promises of the router with real processes: its
// tests start daemons and stand-ins behind a fault-injecting proxy, drive
// callers, let something fail and judge the answers from the stand-ins' ledgers
// and from the prompts alone.
//
// Each scenario stands for one promise under one fault and has a stable name.
// "make prove" runs all of them and writes docs/PROOFS.md. SEED and RUNS draw
// random pairs of faults besides; a failure prints the seed that repeats it.
// The package holds nothing but its tests.
package proof
