package capacity

// tableLoad is the load that one use of the platform's table causes at the design size, per second and over all daemons.
type tableLoad struct {
	user        string
	writes      float64
	reads       float64
	explanation string
}

// The limits of the platform's table per second, as stated in the requirements.
const (
	tableWrites = 400.0
	tableReads  = 2000.0
)

// The periods in seconds, and the frequencies, with which the daemons use the table.
const (
	claimBatchSeconds    = 0.020
	documentPollSeconds  = 10.0
	leaseRenewalSeconds  = 3.0
	claimsPerRequest     = 0.02
	writesPerClaim       = 2.0
	readsPerLostAnswer   = 1.0
	lostAnswersPerChange = 0.01
)

func tableLoads() []tableLoad {
	claims := designRequestsPerSecond * claimsPerRequest * writesPerClaim
	transactions := min(claims, designDomains/claimBatchSeconds)
	return []tableLoad{
		{"claims", transactions, transactions * lostAnswersPerChange * readsPerLostAnswer, "one request in fifty must run at most once: claim and outcome are one row each, committed by one collector in each failure domain at most every 20 ms, up to 200 rows in one transaction"},
		{"configuration", changesPerSecond, designDaemons / documentPollSeconds, "each change is one transaction; every daemon polls every 10 s"},
		{"leases", designDomains / leaseRenewalSeconds, designDaemons / leaseRenewalSeconds, "one holder in each failure domain renews its lease every 3 s; every daemon reads its failure domain's row equally often"},
	}
}

func (p *page) writePlatform() {
	p.line("## The platform's table")
	p.line("")
	p.line("| who | writes/s | reads/s | how |")
	p.line("|---|---|---|---|")
	writes, reads := 0.0, 0.0
	for _, load := range tableLoads() {
		writes += load.writes
		reads += load.reads
		p.line("| %s | %.3g | %.3g | %s |", load.user, load.writes, load.reads, load.explanation)
	}
	p.line("| **sum** | %s | %s | |", formatSum(writes, tableWrites), formatSum(reads, tableReads))
	p.line("| limit | %.0f | %.0f | several hundred writes and two thousand reads a second |", tableWrites, tableReads)
	p.line("")
	p.line("These values are computed from the periods in the code, not measured; the mix of one in fifty is an assumption.")
	p.line("")
}

// writeData writes the cost of sending requests to their backups, which grows with the tokens and does not count as control.
func (p *page) writeData() {
	p.line("## Data between daemons")
	p.line("")
	tokens := p.compute([]term{{holderTokenBytes, tokensPerBatch, batchesPerSecond * kilobytesPerByte, "a batch for each step of a peer's streams"}})
	records := p.compute([]term{{holderRecordBytes, promptTokens, requestsPerDaemonSecond * kilobytesPerByte, "one record for each request"}})
	p.line("Each token is sent to the request's backup before its caller: %.4g KB/s out of a daemon and as much in; records: %.3g KB/s.", tokens.cost, records.cost)
	p.line("")
	for _, source := range append(tokens.sources, records.sources...) {
		p.line("- %s.", source)
	}
	for _, missing := range append(tokens.missing, records.missing...) {
		p.line("- %s is not measured.", missing)
	}
	p.line("")
}

// writeNotBuilt names the role that is not implemented yet, so that the table is not taken as complete.
func (p *page) writeNotBuilt() {
	p.line("The prefix index is not implemented: routes do not depend on prompts yet, so it has no row.")
	p.line("")
}
