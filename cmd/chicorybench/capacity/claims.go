package capacity

import (
	"encoding/json"
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/claim"
)

// The names of the measurements for claims, and for the load reports of engines, which the lease holder of each failure
// domain reads (see package placement). Files of measurements call the coordinator of claims the collector.
const (
	claimTime       = "claim batch time"
	claimBytes      = "claim messages to the collector"
	loadReportBytes = "load report"
)

// httpHeadBytes is the assumed size of the headers of a small HTTP request and its response.
const httpHeadBytes = 220

func claimExperiments() []Experiment {
	sizes := []int{1, 20, 100}
	return []Experiment{
		{name: claimTime, unit: "µs", driver: "claims in a batch", sizes: sizes, measure: measureClaimTime},
		{name: claimBytes, unit: "bytes", driver: "claims", sizes: sizes, measure: measureClaimBytes},
		{name: loadReportBytes, unit: "bytes", driver: "engines read", sizes: sizes, measure: measureLoadReportBytes},
	}
}

// claimEntries returns entries for count claims.
func claimEntries(count int) []claim.Entry {
	entries := make([]claim.Entry, count)
	for i := range entries {
		entries[i] = claim.Entry{
			Kind: claim.Insert, Key: fmt.Sprintf("claims/organisation%03d/service/key-%020d", i, i),
			Owner: fmt.Sprintf("%026d", i), Fingerprint: fmt.Sprintf("%016x", i),
		}
	}
	return entries
}

func measureClaimTime(count int) (float64, error) {
	entries := claimEntries(count)
	return microseconds(func() {
		batch, _ := claim.NewBatch(entries, count)
		_ = batch.Transaction("nonce")
		_ = batch.HandleCommit()
	}), nil
}

// measureClaimBytes returns the size of the messages that one daemon exchanges with its failure domain's coordinator,
// which commits the claims. A response is assumed to be as large as its request.
func measureClaimBytes(count int) (float64, error) {
	sum := 0
	for _, entry := range claimEntries(count) {
		text, err := json.Marshal(entry)
		if err != nil {
			return 0, err
		}
		sum += 2 * (len(text) + frameBytes)
	}
	return float64(sum), nil
}

// measureLoadReportBytes returns the size of the load reports of the given number of engines, with their HTTP headers.
func measureLoadReportBytes(engines int) (float64, error) {
	text, err := json.Marshal(chicoryhall.LoadReport{
		Endpoint: "engine0001", Incarnation: 1_796_330_000_000, Accelerator: "large",
		LoadedLayers: []chicoryhall.LayerRange{{Model: "model", Version: "1", From: 8, To: 16}},
		Running:      48, Waiting: 5, KVUsed: 300_000, KVCapacity: 400_000, StepMicros: 9000,
		AsOfMillis: time.Unix(1_796_330_000, 0).UnixMilli(), Fence: 12,
	})
	return float64(engines * (len(text) + httpHeadBytes)), err
}
