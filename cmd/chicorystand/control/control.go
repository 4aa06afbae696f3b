package control

import (
	"net/http"
	"os"
	"strings"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
)

// CrashStatus is the exit status of a stand-in that was told to crash.
const CrashStatus = 3

// Target is a stand-in as the control endpoint sees it.
type Target interface {
	// Faults returns the faults set.
	Faults() any
	// SetFaults replaces the faults by those in the JSON text.
	SetFaults(text []byte) error
	// Ledger returns what was truly run.
	Ledger() any
	// Act carries out a named action and reports whether it is known.
	Act(action string) bool
}

// Crash ends the process at once.
func Crash() {
	os.Exit(CrashStatus)
}

// New returns the control endpoint of a stand-in.
func New(listen string, target Target) *serve.Server {
	return serve.New(listen, func(x *serve.Exchange) { handle(x, target) })
}

func handle(x *serve.Exchange, target Target) {
	action := strings.TrimPrefix(x.URL.Path, "/")
	switch x.Method + " " + action {
	case "GET faults":
		x.Reply(http.StatusOK, target.Faults())
	case "POST faults":
		setFaults(x, target)
	case "GET ledger":
		x.Reply(http.StatusOK, target.Ledger())
	case "POST crash":
		Crash()
	default:
		act(x, target, action)
	}
}

func setFaults(x *serve.Exchange, target Target) {
	if err := target.SetFaults(x.Body); err != nil {
		x.Fail(http.StatusBadRequest, "faults: %v", err)
		return
	}
	x.ReplyEmpty(http.StatusNoContent)
}

func act(x *serve.Exchange, target Target, action string) {
	if x.Method != http.MethodPost || !target.Act(action) {
		x.Fail(http.StatusNotFound, "%s /%s is no action of this stand-in", x.Method, action)
		return
	}
	x.ReplyEmpty(http.StatusNoContent)
}
