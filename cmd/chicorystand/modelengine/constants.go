package modelengine

import "time"

const (
	// minReportedWait is how long a stream has to wait for another stage until the wait is reported.
	minReportedWait = 50 * time.Millisecond
	// waitReportPeriod is the time between two reports of the same wait.
	waitReportPeriod = 100 * time.Millisecond
	// waitCheckPeriod is the time between two checks for streams that wait, and the minimum wait before stages are probed.
	waitCheckPeriod = 25 * time.Millisecond
	// expiryPeriod is the time between two checks for streams whose deadline has passed.
	expiryPeriod = time.Second
	// expiryGrace is the time after a stream's deadline until a stage ends the stream, if nobody has ended it before.
	expiryGrace = time.Second
	// drainCheckPeriod is the time between two checks whether a draining engine still runs streams.
	drainCheckPeriod = 20 * time.Millisecond
	// reportsPerLag is the number of load reports recorded per report lag.
	reportsPerLag = 4
	// minReportPeriod is the minimum time between two recorded load reports.
	minReportPeriod = 10 * time.Millisecond
	// prefillChunk is the maximum number of positions of one stream in one step.
	prefillChunk = 64
	// maxTasks bounds the queued tasks, which are layer loads, KV imports and the registration.
	maxTasks = 1024
	// maxTrackedStreams bounds the number of streams whose newest attempt is remembered.
	maxTrackedStreams = 1 << 14
	// maxCacheEvents bounds the number of cache events kept for reading.
	maxCacheEvents = 1 << 12
	// maxLedgerEntries bounds the number of entries in the ledger.
	maxLedgerEntries = 1 << 17
	// importTimeout bounds fetching the KV from another engine, and one attempt to register in the VM list.
	importTimeout = 2 * time.Second
	// weightTimeout bounds fetching the weights of one layer.
	weightTimeout = time.Minute
	// retryPause is the pause before fetching a layer or registering is tried again.
	retryPause = 200 * time.Millisecond
)
