package modelengine

import (
	"slices"

	"chicoryhall.example/chicoryhall"
)

// report notes the present load; it is published when it is as old as the lag.
func (e *Engine) report() {
	load := chicoryhall.LoadReport{
		Endpoint:     e.settings.ID,
		Incarnation:  e.started.UnixNano(),
		State:        e.state(),
		Accelerator:  e.settings.Accelerator,
		LoadedLayers: slices.Clone(e.holdings),
		KVUsed:       e.used(),
		KVCapacity:   int64(e.settings.KVCapacity),
		StepMicros:   e.batch.mean.Microseconds(),
		AsOfMillis:   millis(e.timer.Now()),
		Fence:        e.fence,
	}
	for _, state := range e.states {
		if state.active {
			load.Running++
		}
	}
	for _, state := range e.states {
		if state.active && state.have() < state.given()-1 {
			load.Waiting++
		}
	}
	e.reports = append(e.reports, load)
	e.dropOldReports()
}

// dropOldReports keeps the newest report that is older than the lag and those behind it.
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
	case len(e.holdings) == 0 && e.loading > 0:
		return chicoryhall.EndpointLoading
	}
	return chicoryhall.EndpointReady
}
