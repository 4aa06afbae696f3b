package modelengine

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// report records the current load. It is served once it is as old as the report lag.
func (e *Engine) report() {
	load := chicoryhall.LoadReport{
		Endpoint:     e.settings.ID,
		Incarnation:  e.started.UnixNano(),
		State:        e.state(),
		Accelerator:  e.settings.Accelerator,
		LoadedLayers: slices.Clone(e.holdings),
		KVUsed:       e.used(),
		KVCapacity:   int64(e.settings.KVCapacity),
		StepMicros:   e.batch.meanDuration.Microseconds(),
		AsOfMillis:   millis(e.timer.Now()),
		Fence:        e.fence,
	}
	// Running counts all open streams. Waiting counts those among them that are in the prefill: they do not hold the KV
	// of all given tokens but the last. Unlike chicoryhall.LoadReport says, a stream can thus be counted in both.
	for _, state := range e.states {
		if state.active {
			load.Running++
		}
	}
	for _, state := range e.states {
		if state.active && state.heldPositions() < state.givenTokens()-1 {
			load.Waiting++
		}
	}
	e.reports = append(e.reports, load)
	e.dropOldReports()
}

// dropOldReports drops the reports before the newest one that is at least as old as the report lag. That one is served.
func (e *Engine) dropOldReports() {
	limit := millis(e.timer.Now()) - e.settings.ReportLag.Milliseconds()
	for len(e.reports) > 1 && e.reports[1].AsOfMillis <= limit {
		e.reports = e.reports[1:]
	}
}

func (e *Engine) state() chicoryhall.EndpointState {
	switch {
	case e.leaving:
		return chicoryhall.EndpointLeaving
	case len(e.holdings) == 0 && e.loadsInProgress > 0:
		return chicoryhall.EndpointLoading
	}
	return chicoryhall.EndpointReady
}
