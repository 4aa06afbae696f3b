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
	// pageFile is the page that lists what is proved.
	pageFile = "../docs/PROOFS.md"
	// knownRedFile lists the tests that are known to fail.
	knownRedFile = "../KNOWN-RED.txt"
	// pageVariable names the environment variable that tells where to write the page.
	pageVariable = "PROOFS_PAGE"
)

// state is what is known of a scenario.
type state string

// The states of a scenario.
const (
	stateProved    state = "proved"
	stateNotProved state = "not proved"
	stateRed       state = "red"
)

// results are the outcomes of the scenarios that ran in this process.
var results = struct {
	mu     sync.Mutex
	states map[string]state
}{states: map[string]state{}}

// note records what became of a scenario.
func note(t *testing.T, name string) {
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

// pageLine is the line of one scenario.
func pageLine(s scenario, known state) string {
	return fmt.Sprintf("| %s | %s | %s | %s |\n", s.promise, s.fault, s.name, known)
}

// writePage writes the page from the results, if asked to.
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

// resultOf is what became of a scenario in this process.
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

// knownRed returns the tests that KNOWN-RED.txt lists; its lines begin with the name of a test.
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

// TestPageIsCurrent fails when the page and the scenarios differ, or when it calls proved what
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
