package capacity

// tableLoad is the load that one use of the platform's table causes at the design size, in writes and reads per second
// over all daemons.
type tableLoad struct {
	user        string
	writes      float64
	reads       float64
	explanation string
}

// The rates of writes and reads that the platform's table is required to sustain, per second. For writes the users
// state several hundred, which is taken as 400.
const (
	maxTableWrites = 400.0
	maxTableReads  = 2000.0
)

// The periods with which the daemons use the table, and the assumed numbers of claims and lost answers.
const (
	claimBatchSeconds         = 0.020
	documentPollSeconds       = 10.0
	leaseRenewalSeconds       = 3.0
	claimsPerRequest          = 0.02
	writesPerClaim            = 2.0 // the claim and its outcome; the costs measured for a claim are used for both
	readsPerLostAnswer        = 1.0
	lostAnswersPerTransaction = 0.01
)

func tableLoads() []tableLoad {
	claimWrites := designRequestsPerSecond * claimsPerRequest * writesPerClaim
	transactions := min(claimWrites, designDomains/claimBatchSeconds)
	return []tableLoad{
		{"claims", transactions, transactions * lostAnswersPerTransaction * readsPerLostAnswer, "one request in fifty must run at most once: claim and outcome are one row each, committed by one coordinator in each failure domain at most every 20 ms, up to 200 rows in one transaction"},
		{"configuration", changesPerSecond, designDaemons / documentPollSeconds, "each change is one transaction; every daemon polls every 10 s"},
		{"leases", designDomains / leaseRenewalSeconds, designDaemons / leaseRenewalSeconds, "the lease holder of each failure domain renews its lease every 3 s; every daemon reads its failure domain's row equally often"},
	}
}

// writePlatform writes the load on the platform's table.
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
	p.line("| **sum** | %s | %s | |", formatSum(writes, maxTableWrites), formatSum(reads, maxTableReads))
	p.line("| limit | %.0f | %.0f | several hundred writes and two thousand reads a second |", maxTableWrites, maxTableReads)
	p.line("")
	p.line("These values are computed from the periods in the code, not measured; that one request in fifty needs a claim is an assumption.")
	p.line("")
}

// writeData writes the size of the messages that send requests to their backups. They are no part of control, as they
// contain the data of the requests and grow with their tokens.
func (p *page) writeData() {
	p.line("## Data between daemons")
	p.line("")
	tokens := p.compute([]term{{backupTokenBytes, tokensPerBatch, batchesPerSecond * kilobytesPerByte, "one batch to each other daemon of the failure domain every 36 ms"}})
	records := p.compute([]term{{backupRecordBytes, promptTokens, requestsPerDaemonSecond * kilobytesPerByte, "one record for each request"}})
	p.line("Each token is sent to the backup of its request before it is sent to the caller: a daemon sends %.4g KB/s and receives as much. The records of new requests add %.3g KB/s.", tokens.cost, records.cost)
	p.line("")
	for _, source := range append(tokens.sources, records.sources...) {
		p.line("- %s.", source)
	}
	for _, missing := range append(tokens.missing, records.missing...) {
		p.line("- %s is not measured.", missing)
	}
	p.line("")
}

// writeNotImplemented names the role that is missing in the table of roles because it is not implemented yet.
func (p *page) writeNotImplemented() {
	p.line("Routes do not depend on prompts yet: the prefix index, by which requests would be routed to engines that have cached the start of their prompt, is not implemented and has no row.")
	p.line("")
}
