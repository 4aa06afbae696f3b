package proof

import (
	"testing"
)

// promise is one line of what must always hold.
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

// fault is what goes wrong in a scenario.
type fault string

// The faults.
const (
	noFault          fault = "none"
	sentTwice        fault = "same key at two daemons at once"
	engineKilled     fault = "engine killed"
	engineFrozen     fault = "engine frozen"
	connectionSilent fault = "open connection silent"
	linkCut          fault = "link cut"
	linkDegraded     fault = "link degraded"
	answersLate      fault = "answers late"
	daemonKilled     fault = "daemon killed"
	daemonFrozen     fault = "daemon frozen and woken"
	daemonStopped    fault = "daemon told to stop"
	engineStopped    fault = "engine told to stop"
	engineLeaves     fault = "engine leaves by the list of VMs"
	tableDown        fault = "table down"
	tableAnswerLost  fault = "table's answer lost"
	serviceCut       fault = "plain service's answer lost"
	serviceFull      fault = "plain service full"
	promptCrashes    fault = "prompt crashes engines"
	editsRace        fault = "operators race"
	tableRestored    fault = "table restored from a backup"
	domainCut        fault = "daemons cut off from each other"
	tableSlow        fault = "table slow"
	daemonJoins      fault = "daemon restarted"
)

// scenario proves one promise under one fault; without run it is not proved yet.
type scenario struct {
	// name is stable: pages and KNOWN-RED.txt refer to it.
	name    string
	promise promise
	fault   fault
	size    size
	run     func(t *testing.T, c *cluster)
}

// scenarios are all pairs of a promise and a fault that are proved or shall be.
var scenarios = []scenario{
	{"layers-once/none", layersOnce, noFault, usual, proveHealthy},
	{"layers-once/engine-frozen", layersOnce, engineFrozen, usual, proveLayersOnce},
	{"whole-answer/engine-killed", wholeAnswer, engineKilled, usual, proveEngineKilled},
	{"whole-answer/engine-frozen", wholeAnswer, engineFrozen, usual, proveEngineFrozen},
	{"whole-answer/connection-silent", wholeAnswer, connectionSilent, usual, proveConnectionSilent},
	{"whole-answer/link-cut", wholeAnswer, linkCut, usual, proveLinkCut},
	{"whole-answer/link-degraded", wholeAnswer, linkDegraded, usual, proveLinkDegraded},
	{"whole-answer/answers-late", wholeAnswer, answersLate, usual, proveAnswersLate},
	{"whole-answer/daemon-killed", wholeAnswer, daemonKilled, usual, proveDaemonKilled},
	{"whole-answer/daemon-frozen", wholeAnswer, daemonFrozen, usual, proveDaemonFrozen},
	{"whole-answer/table-down", wholeAnswer, tableDown, usual, proveDraftsWithoutTable},
	{"whole-answer/sent-twice", wholeAnswer, sentTwice, usual, proveSentTwice},
	{"whole-answer/daemons-cut", wholeAnswer, domainCut, usual, proveDraftsCutApart},
	{"whole-answer/daemon-restarted", wholeAnswer, daemonJoins, usual, proveDaemonRestarted},
	{"at-most-once/none", atMostOnce, noFault, usual, proveHolds},
	{"at-most-once/daemon-killed", atMostOnce, daemonKilled, usual, proveHoldsDaemonKilled},
	{"at-most-once/service-answer-lost", atMostOnce, serviceCut, usual, proveHoldAnswerLost},
	{"at-most-once/table-answer-lost", atMostOnce, tableAnswerLost, usual, proveHoldTableAnswerLost},
	{"at-most-once/daemons-cut", atMostOnce, domainCut, usual, proveHoldsCutApart},
	{"at-most-once/daemon-frozen", atMostOnce, daemonFrozen, usual, proveHoldsDaemonFrozen},
	{"at-most-once/table-slow", atMostOnce, tableSlow, usual, proveHoldsTableSlow},
	{"not-run/table-down", notRun, tableDown, usual, proveHoldTableDown},
	{"not-run/service-full", notRun, serviceFull, usual, proveServiceFull},
	{"leaving/vm-list", leavingStops, engineLeaves, usual, proveLeaving},
	{"stop/daemon", stopCutsNone, daemonStopped, usual, proveDaemonStopped},
	{"stop/engine", stopCutsNone, engineStopped, usual, proveEngineStopped},
	{"crash/prompt", crashBounded, promptCrashes, size{daemons: 2, enginesPerStage: 4}, proveCrashingPrompt},
	{"document/operators-race", documentHeld, editsRace, usual, proveOperatorsRace},
	{"document/table-answer-lost", documentHeld, tableAnswerLost, usual, proveDocumentAnswerLost},
	{"document/table-restored", documentHeld, tableRestored, usual, proveTableRestored},
	{"document/table-down", documentHeld, tableDown, usual, proveStartWithoutPlatform},
	{"document/table-slow", documentHeld, tableSlow, usual, proveDocumentTableSlow},
	{"document/daemons-cut", documentHeld, domainCut, usual, proveDocumentCutApart},
	{"document/daemon-frozen", documentHeld, daemonFrozen, usual, proveDocumentAfterPause},
}

// TestProofs runs every scenario with processes of its own.
func TestProofs(t *testing.T) {
	if testing.Short() {
		t.Skip("starts real processes")
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			defer note(t, s.name)
			if s.run == nil {
				t.Skip("not proved yet")
			}
			s.run(t, newCluster(t, s.size))
		})
	}
}
