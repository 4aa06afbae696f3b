package capacity

// tableLoad is one use of the platform's table at the design size, per second over all daemons.
type tableLoad struct {
	who    string
	writes float64
	reads  float64
	says   string
}

// The table's limits, from the brief, per second.
const (
	tableWrites = 400.0
	tableReads  = 2000.0
)

// The periods with which the daemons' parts use the table, in seconds.
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
		{"claims", transactions, transactions * lostAnswersPerChange * readsPerLostAnswer, "one request in fifty must run at most once: claim and outcome each a row, committed by one collector a failure domain at most every 20 ms, up to 200 rows in one transaction"},
		{"configuration", changesPerSecond, designDaemons / documentPollSeconds, "each change one transaction; every daemon polls every 10 s"},
		{"leases", designDomains / leaseRenewalSeconds, designDaemons / leaseRenewalSeconds, "one holder a failure domain renews every 3 s; every daemon reads its failure domain's row as often"},
	}
}

func (p *page) platform() {
	p.line("## The platform's table")
	p.line("")
	p.line("| who | writes/s | reads/s | how |")
	p.line("|---|---|---|---|")
	writes, reads := 0.0, 0.0
	for _, load := range tableLoads() {
		writes += load.writes
		reads += load.reads
		p.line("| %s | %.3g | %.3g | %s |", load.who, load.writes, load.reads, load.says)
	}
	p.line("| **sum** | %s | %s | |", mark(writes, tableWrites), mark(reads, tableReads))
	p.line("| limit | %.0f | %.0f | several hundred writes and two thousand reads a second |", tableWrites, tableReads)
	p.line("")
	p.line("These are arithmetic over the periods in the code, not measured; the mix of one in fifty is an assumption.")
	p.line("")
}

// data writes what second holders send, which grows with the tokens and is not control.
func (p *page) data() {
	p.line("## Data between daemons")
	p.line("")
	tokens := p.work([]term{{holderTokenBytes, tokensPerBatch, batchesPerSecond * kilobytesPerByte, "a batch for each step of a peer's streams"}})
	records := p.work([]term{{holderRecordBytes, promptTokens, requestsPerDaemonSecond * kilobytesPerByte, "one record for each request"}})
	p.line("Each token goes to the second holder before its caller: %.4g KB/s out of a daemon and as much in; records: %.3g KB/s.", tokens.cost, records.cost)
	p.line("")
	for _, source := range append(tokens.sources, records.sources...) {
		p.line("- %s.", source)
	}
	for _, missing := range append(tokens.missing, records.missing...) {
		p.line("- %s is not measured.", missing)
	}
	p.line("")
}

// notBuilt names the role without a mechanism yet, so that the table is not read as complete.
func (p *page) notBuilt() {
	p.line("The prefix index is not built: routes do not look at prompts yet, so it has no row.")
	p.line("")
}
