package proof

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
)

// standin is a stand-in process with the address of its control endpoint.
type standin struct {
	*process
	control string
}

// setFaults sets the stand-in's faults.
func (s *standin) setFaults(t *testing.T, faults any) {
	t.Helper()
	body, err := json.Marshal(faults)
	must.NoError(t, err)
	s.post(t, "/faults", body)
}

// act executes a named action of the stand-in.
func (s *standin) act(t *testing.T, action string) {
	t.Helper()
	s.post(t, "/"+action, nil)
}

func (s *standin) post(t *testing.T, path string, body []byte) {
	t.Helper()
	response, err := probe.Post("http://"+s.control+path, "application/json", bytes.NewReader(body))
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	must.Less(t, http.StatusMultipleChoices, response.StatusCode, must.Sprintf("%s %s", s.name, path))
}

// ledger reads the stand-in's ledger. It returns false if the process has exited.
func (s *standin) ledger(t *testing.T, into any) bool {
	t.Helper()
	if !s.running() {
		return false
	}
	response, err := probe.Get("http://" + s.control + "/ledger")
	if err != nil && s.wait(time.Second) {
		return false
	}
	must.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	must.NoError(t, json.NewDecoder(response.Body).Decode(into))
	return true
}

// engineLedger is the part of an engine's ledger that the tests check.
type engineLedger struct {
	Runs []engineRun `json:"runs"`
}

type engineRun struct {
	Stream   chicoryhall.RequestID `json:"stream"`
	Attempt  int                   `json:"attempt"`
	From     int                   `json:"from"`
	To       int                   `json:"to"`
	Index    int                   `json:"index"`
	Repeats  int                   `json:"repeats"`
	AtMillis int64                 `json:"atMillis"`
	// Positions are the ranges of positions that were run.
	Positions []positions `json:"positions"`
}

type positions struct {
	From int `json:"from"`
	To   int `json:"to"`
}

// plainLedger is the part of a plain service's ledger that the tests check.
type plainLedger struct {
	Calls []plainCall `json:"calls"`
}

type plainCall struct {
	Request    chicoryhall.RequestID `json:"request"`
	Operation  string                `json:"operation"`
	Body       string                `json:"body"`
	Executions int                   `json:"executions"`
	AtMillis   int64                 `json:"atMillis"`
}

// linkFaults are the faults of one link of the proxy.
type linkFaults struct {
	Cut            bool  `json:"cut,omitempty"`
	Blackhole      bool  `json:"blackhole,omitempty"`
	DelayMillis    int64 `json:"delayMillis,omitempty"`
	BytesPerSecond int64 `json:"bytesPerSecond,omitempty"`
	CutAnswerAfter int64 `json:"cutAnswerAfter,omitempty"`
}

// proxyFaults maps the listening addresses of the proxy's links to their faults.
type proxyFaults struct {
	Links map[string]linkFaults `json:"links"`
}

// engineFaults are the faults of an engine.
type engineFaults struct {
	Slow        float64 `json:"slow,omitempty"`
	LateMillis  int64   `json:"lateMillis,omitempty"`
	CrashPrompt string  `json:"crashPrompt,omitempty"`
	RefuseFull  bool    `json:"refuseFull,omitempty"`
}

// plainFaults are the faults of a plain service.
type plainFaults struct {
	Slow        float64 `json:"slow,omitempty"`
	LateMillis  int64   `json:"lateMillis,omitempty"`
	LoseAnswers int     `json:"loseAnswers,omitempty"`
	RefuseFull  bool    `json:"refuseFull,omitempty"`
}

// platformFaults are the faults of the platform that the tests use.
type platformFaults struct {
	Table serviceFaults `json:"table"`
}

// serviceFaults are the faults of one service of the platform.
type serviceFaults struct {
	Outage       string `json:"outage,omitempty"`
	SlowMillis   int64  `json:"slowMillis,omitempty"`
	LoseAnswers  int    `json:"loseAnswers,omitempty"`
	LoseSilently bool   `json:"loseSilently,omitempty"`
}
