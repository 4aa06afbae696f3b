package modelengine

import "time"

const (
	// waitingAfter is the wait for another stage that is reported.
	waitingAfter = 50 * time.Millisecond
	// waitingPeriod is the time between two reports of one wait.
	waitingPeriod = 100 * time.Millisecond
	// waitCheckPeriod is the time between two looks at the waits.
	waitCheckPeriod = 25 * time.Millisecond
	// expiryPeriod is the time between two looks at the deadlines.
	expiryPeriod = time.Second
	// expiryGrace is how long a stage keeps a stream behind its deadline.
	expiryGrace = time.Second
	// drainCheckPeriod is the time between two looks at the streams of a leaving engine.
	drainCheckPeriod = 20 * time.Millisecond
	// reportsPerLag is the number of load reports kept per lag.
	reportsPerLag = 4
	// minReportPeriod bounds how often the load is noted.
	minReportPeriod = 10 * time.Millisecond
	// prefillChunk is the most positions of one stream in one step.
	prefillChunk = 64
	// maxTasks bounds the loads and imports that wait.
	maxTasks = 1024
	// maxAttempts bounds the streams whose newest attempt is remembered.
	maxAttempts = 1 << 14
	// maxCacheEvents bounds the cache events that can still be read.
	maxCacheEvents = 1 << 12
	// maxLedgerStreams bounds the ledger.
	maxLedgerStreams = 1 << 17
	// importTimeout bounds the fetch of one KV export.
	importTimeout = 2 * time.Second
	// weightTimeout bounds the fetch of one layer.
	weightTimeout = time.Minute
	// weightRetry is the pause before a layer is fetched again.
	weightRetry = 200 * time.Millisecond
)
