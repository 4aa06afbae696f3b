package proof

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// leaseLapsed is a fault that no scenario with real processes injects yet.
const leaseLapsed fault = "lapsed lease"

// columns are the faults of the matrix, in order.
var columns = []fault{
	engineKilled, engineFrozen, daemonKilled, daemonFrozen, daemonsCutOff, tableDown, tableSlow,
	tableAnswerLost, editsRace, promptCrashes, connectionSilent, linkDegraded, daemonRestarted, leaseLapsed,
}

// rows are the promises of the matrix, in order.
var rows = []promise{
	layersOnce, wholeAnswer, notRun, atMostOnce, leavingStops, stopCutsNone, documentHeld, crashBounded,
}

// modelProof is a test that checks a promise under a fault without real processes, on a package's decision logic alone.
type modelProof struct {
	promise promise
	fault   fault
	// folder and test are the folder and the name of the Go test.
	folder string
	test   string
}

// modelProofs lists the tests of decision logic, which explore all states or use random orders of events.
var modelProofs = []modelProof{
	{layersOnce, connectionSilent, "stream", "TestInvariants"},
	{layersOnce, engineKilled, "stream", "TestInvariants"},
	{wholeAnswer, daemonsCutOff, "membership", "TestDaemonsAgreeAfterFaults"},
	{wholeAnswer, daemonRestarted, "holder", "TestEverySmallTakeover"},
	{notRun, daemonKilled, "claim", "TestEveryCrashPointSendsAtMostOnce"},
	{notRun, tableAnswerLost, "claim", "TestEveryCrashPointSendsAtMostOnce"},
	{atMostOnce, tableDown, "claim", "TestClaimThatFailedInAnOutageIsReleasedAfterIt"},
	{atMostOnce, daemonFrozen, "claim", "TestEveryCrashPointSendsAtMostOnce"},
	{leavingStops, daemonRestarted, "watch", "TestLeavingReachesEveryDaemon"},
	{stopCutsNone, leaseLapsed, "lease", "TestNeverTwoHoldersNorLateOrders"},
	{stopCutsNone, editsRace, "placement", "TestVersionChangeCutsNoRequest"},
	{documentHeld, daemonsCutOff, "configuration", "TestEveryInterleavingAcceptsOnceAndNeverReverts"},
	{documentHeld, daemonRestarted, "configuration", "TestNewDaemonStartsFromItsPeersWithTheTableDown"},
	{crashBounded, engineKilled, "quarantine", "TestMassFailureExcusesOneCrash"},
}

const matrixHead = `
## Promise and fault

A name is the subtest of TestProofs with real processes; a name with a folder is a test of
the pure decisions of that package alone. A dash is not proved: no test provokes that fault
under that promise yet.

`

// matrix returns the Markdown table of all promises and faults.
func matrix(stateOf func(scenario) state) string {
	var page strings.Builder
	page.WriteString(matrixHead + "| promise |")
	for _, column := range columns {
		fmt.Fprintf(&page, " %s |", column)
	}
	page.WriteString("\n|---|" + strings.Repeat("---|", len(columns)) + "\n")
	for _, row := range rows {
		fmt.Fprintf(&page, "| %s |", row)
		for _, column := range columns {
			fmt.Fprintf(&page, " %s |", cell(row, column, stateOf))
		}
		page.WriteString("\n")
	}
	return page.String()
}

// cell returns the names of the tests for one promise under one fault.
func cell(row promise, column fault, stateOf func(scenario) state) string {
	var names []string
	for _, s := range scenarios {
		if s.promise != row || s.fault != column {
			continue
		}
		name := s.name
		if known := stateOf(s); known != stateProved {
			name += " (" + string(known) + ")"
		}
		names = append(names, name)
	}
	for _, m := range modelProofs {
		if m.promise == row && m.fault == column {
			names = append(names, m.folder+" "+m.test)
		}
	}
	if len(names) == 0 {
		return "-"
	}
	return strings.Join(names, ", ")
}

// TestModelProofsExist checks that all tests in modelProofs exist.
func TestModelProofsExist(t *testing.T) {
	for _, m := range modelProofs {
		paths, err := filepath.Glob(filepath.Join("..", m.folder, "*_test.go"))
		must.NoError(t, err)
		found := false
		for _, path := range paths {
			text, err := os.ReadFile(path)
			must.NoError(t, err)
			found = found || strings.Contains(string(text), "func "+m.test+"(")
		}
		must.True(t, found, must.Sprintf("%s has no test %s", m.folder, m.test))
	}
}
