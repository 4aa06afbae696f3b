package proof

import (
	"testing"
)

// promise is a guarantee of the daemons: a property that must hold under every fault.
type promise string

// The promises.
const (
	layersOnce   promise = "every layer runs exactly once for each token, in order"
	wholeAnswer  promise = "each caller receives the whole answer to its own request"
	notRun       promise = "a request told as not run was truly not run"
	atMostOnce   promise = "a request that is not idempotent runs at most once"
	leavingStops promise = "a leaving endpoint receives no new work after 3 seconds"
	stopCutsNone promise = "a planned stop cuts off no request in progress"
	documentHeld promise = "an accepted document is in force everywhere within seconds and never reverts"
	crashBounded promise = "a request that crashes engines costs at most two"
)

// fault is the fault injected in a scenario.
type fault string

// The faults.
const (
	noFault           fault = "none"
	sentTwice         fault = "same key at two daemons at once"
	engineKilled      fault = "engine killed"
	engineFrozen      fault = "engine frozen"
	connectionSilent  fault = "open connection silent"
	linkCut           fault = "link cut"
	linkDegraded      fault = "link degraded"
	answersLate       fault = "answers late"
	daemonKilled      fault = "daemon killed"
	daemonFrozen      fault = "daemon frozen and woken"
	daemonStopped     fault = "daemon told to stop"
	engineStopped     fault = "engine told to stop"
	engineLeaves      fault = "engine leaves by the list of VMs"
	tableDown         fault = "table down"
	tableAnswerLost   fault = "table's answer lost"
	serviceAnswerLost fault = "plain service's answer lost"
	serviceFull       fault = "plain service full"
	promptCrashes     fault = "prompt crashes engines"
	editsRace         fault = "operators race"
	tableRestored     fault = "table restored from a backup"
	daemonsCutOff     fault = "daemons cut off from each other"
	tableSlow         fault = "table slow"
	daemonRestarted   fault = "daemon restarted"
)

// scenario is a test of one promise under one fault. If run is nil, there is no test yet.
type scenario struct {
	// name must not change, as pages and KNOWN-RED.txt refer to it.
	name    string
	promise promise
	fault   fault
	size    clusterSize
	run     func(t *testing.T, c *cluster)
}

// scenarios lists all scenarios.
var scenarios = []scenario{
	{"layers-once/none", layersOnce, noFault, defaultSize, proveHealthy},
	{"layers-once/engine-frozen", layersOnce, engineFrozen, defaultSize, proveLayersOnce},
	{"whole-answer/engine-killed", wholeAnswer, engineKilled, defaultSize, proveEngineKilled},
	{"whole-answer/engine-frozen", wholeAnswer, engineFrozen, defaultSize, proveEngineFrozen},
	{"whole-answer/connection-silent", wholeAnswer, connectionSilent, defaultSize, proveConnectionSilent},
	{"whole-answer/link-cut", wholeAnswer, linkCut, defaultSize, proveLinkCut},
	{"whole-answer/link-degraded", wholeAnswer, linkDegraded, defaultSize, proveLinkDegraded},
	{"whole-answer/answers-late", wholeAnswer, answersLate, defaultSize, proveAnswersLate},
	{"whole-answer/daemon-killed", wholeAnswer, daemonKilled, defaultSize, proveDaemonKilled},
	{"whole-answer/daemon-frozen", wholeAnswer, daemonFrozen, defaultSize, proveDaemonFrozen},
	{"whole-answer/table-down", wholeAnswer, tableDown, defaultSize, proveDraftsWithoutTable},
	{"whole-answer/sent-twice", wholeAnswer, sentTwice, defaultSize, proveSentTwice},
	{"whole-answer/daemons-cut", wholeAnswer, daemonsCutOff, defaultSize, proveDraftsCutApart},
	{"whole-answer/daemon-restarted", wholeAnswer, daemonRestarted, defaultSize, proveDaemonRestarted},
	{"at-most-once/none", atMostOnce, noFault, defaultSize, proveHolds},
	{"at-most-once/daemon-killed", atMostOnce, daemonKilled, defaultSize, proveHoldsDaemonKilled},
	{"at-most-once/service-answer-lost", atMostOnce, serviceAnswerLost, defaultSize, proveHoldAnswerLost},
	{"at-most-once/table-answer-lost", atMostOnce, tableAnswerLost, defaultSize, proveHoldTableAnswerLost},
	{"at-most-once/daemons-cut", atMostOnce, daemonsCutOff, defaultSize, proveHoldsCutApart},
	{"at-most-once/daemon-frozen", atMostOnce, daemonFrozen, defaultSize, proveHoldsDaemonFrozen},
	{"at-most-once/table-slow", atMostOnce, tableSlow, defaultSize, proveHoldsTableSlow},
	{"not-run/table-down", notRun, tableDown, defaultSize, proveHoldTableDown},
	{"not-run/service-full", notRun, serviceFull, defaultSize, proveServiceFull},
	{"leaving/vm-list", leavingStops, engineLeaves, defaultSize, proveLeaving},
	{"stop/daemon", stopCutsNone, daemonStopped, defaultSize, proveDaemonStopped},
	{"stop/engine", stopCutsNone, engineStopped, defaultSize, proveEngineStopped},
	{"crash/prompt", crashBounded, promptCrashes, clusterSize{daemons: 2, enginesPerStage: 4}, proveCrashingPrompt},
	{"document/operators-race", documentHeld, editsRace, defaultSize, proveOperatorsRace},
	{"document/table-answer-lost", documentHeld, tableAnswerLost, defaultSize, proveDocumentAnswerLost},
	{"document/table-restored", documentHeld, tableRestored, defaultSize, proveTableRestored},
	{"document/table-down", documentHeld, tableDown, defaultSize, proveStartWithoutTable},
	{"document/table-slow", documentHeld, tableSlow, defaultSize, proveDocumentTableSlow},
	{"document/daemons-cut", documentHeld, daemonsCutOff, defaultSize, proveDocumentCutApart},
	{"document/daemon-frozen", documentHeld, daemonFrozen, defaultSize, proveDocumentAfterPause},
}

// TestProofs runs every scenario with its own processes.
func TestProofs(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			defer recordResult(t, s.name)
			if s.run == nil {
				t.Skip("not proved yet")
			}
			s.run(t, newCluster(t, s.size))
		})
	}
}
