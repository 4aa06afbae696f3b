package control

import (
	"net/http"
	"os"
	"strings"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
)

// CrashStatus is the exit status of a stand-in after an injected crash.
const CrashStatus = 3

// Controllable is a stand-in that can be controlled.
type Controllable interface {
	// Faults returns the current faults.
	Faults() any
	// SetFaults replaces the faults by those given as JSON.
	SetFaults(text []byte) error
	// Ledger returns what the stand-in actually ran.
	Ledger() any
	// Act executes a named action. It returns false if there is no such action.
	Act(action string) bool
}

// Crash ends the process immediately with CrashStatus.
func Crash() {
	os.Exit(CrashStatus)
}

// New returns the server of a stand-in's control endpoint.
func New(listen string, target Controllable) *serve.Server {
	return serve.New(listen, func(x *serve.Exchange) { handle(x, target) })
}

func handle(x *serve.Exchange, target Controllable) {
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

func setFaults(x *serve.Exchange, target Controllable) {
	if err := target.SetFaults(x.Body); err != nil {
		x.Fail(http.StatusBadRequest, "faults: %v", err)
		return
	}
	x.ReplyEmpty(http.StatusNoContent)
}

func act(x *serve.Exchange, target Controllable, action string) {
	if x.Method != http.MethodPost || !target.Act(action) {
		x.Fail(http.StatusNotFound, "%s /%s is no action of this stand-in", x.Method, action)
		return
	}
	x.ReplyEmpty(http.StatusNoContent)
}
