package proof

import (
	"bufio"
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"

	"github.com/shoenig/test/must"
)

const (
	// pageFile is the page that lists the scenarios and their states.
	pageFile = "../docs/PROOFS.md"
	// knownRedFile lists the tests that are known to fail.
	knownRedFile = "../KNOWN-RED.txt"
	// pageVariable is the name of the environment variable with the path to which the page is written.
	pageVariable = "PROOFS_PAGE"
)

// state is the state of a scenario on the page.
type state string

// The states of a scenario.
const (
	// stateProved means that the scenario passed and is not listed in KNOWN-RED.txt.
	stateProved state = "proved"
	// stateNotProved means that the scenario has no test or was not run.
	stateNotProved state = "not proved"
	// stateRed means that the scenario failed or is listed in KNOWN-RED.txt.
	stateRed state = "red"
)

// results are the outcomes of the scenarios that ran in this process.
var results = struct {
	mu     sync.Mutex
	states map[string]state
}{states: map[string]state{}}

// recordResult records the state of a scenario that has run.
func recordResult(t *testing.T, name string) {
	results.mu.Lock()
	defer results.mu.Unlock()
	switch {
	case t.Failed() || knownRed(t)["TestProofs/"+name]:
		results.states[name] = stateRed
	case t.Skipped():
		results.states[name] = stateNotProved
	default:
		results.states[name] = stateProved
	}
}

const pageHead = `# Proofs

Made by ` + "`make prove`" + `; do not edit. Each line is one promise under one fault, proved by the
subtest of TestProofs (package proof) that is named, with real processes behind the
fault proxy. "red" fails, or failed in some runs, and is listed in KNOWN-RED.txt;
"not proved" has no test yet.

| promise | fault | test | state |
|---|---|---|---|
`

// pageLine returns the line of the page for one scenario.
func pageLine(s scenario, known state) string {
	return fmt.Sprintf("| %s | %s | %s | %s |\n", s.promise, s.fault, s.name, known)
}

// writePage writes the page if the environment variable is set.
func writePage() error {
	path := os.Getenv(pageVariable)
	if path == "" {
		return nil
	}
	var page strings.Builder
	page.WriteString(pageHead)
	for _, s := range scenarios {
		page.WriteString(pageLine(s, resultOf(s)))
	}
	page.WriteString(matrix(resultOf))
	return os.WriteFile(path, []byte(page.String()), 0o600)
}

// resultOf returns the state of a scenario in this run.
func resultOf(s scenario) state {
	if known, ran := results.states[s.name]; ran {
		return known
	}
	return stateNotProved
}

func TestMain(m *testing.M) {
	status := m.Run()
	if err := writePage(); err != nil {
		fmt.Fprintf(os.Stderr, "proof: %v\n", err)
		status = 1
	}
	os.Exit(status)
}

// knownRed returns the tests listed in KNOWN-RED.txt. Each of its lines starts with the name of a test.
func knownRed(t *testing.T) map[string]bool {
	t.Helper()
	red := map[string]bool{}
	file, err := os.Open(knownRedFile)
	if os.IsNotExist(err) {
		return red
	}
	must.NoError(t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 0 {
			red[fields[0]] = true
		}
	}
	return red
}

// TestPageIsCurrent checks that the page matches the scenarios, and that it does not list a scenario as proved that
// is known to be red or has no test.
func TestPageIsCurrent(t *testing.T) {
	text, err := os.ReadFile(pageFile)
	must.NoError(t, err)
	red := knownRed(t)
	listed := func(s scenario) state {
		switch {
		case s.run == nil:
			return stateNotProved
		case red["TestProofs/"+s.name]:
			return stateRed
		}
		return stateProved
	}
	var want strings.Builder
	want.WriteString(pageHead)
	for _, s := range scenarios {
		want.WriteString(pageLine(s, listed(s)))
	}
	want.WriteString(matrix(listed))
	must.Eq(t, want.String(), string(text), must.Sprint("run make prove and list what is red in KNOWN-RED.txt"))
}
