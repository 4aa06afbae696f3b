package control

import (
	"net/http"
	"os"
	"strings"

	"chicoryhall.example/chicoryhall/cmd/chicorystand/serve"
)

// CrashStatus is the exit status after an injected crash, whether requested by POST /crash or caused by a fault. It
// differs from the statuses of a command that fails (1), of a usage error (2) and of a panic (2).
const CrashStatus = 3

// Controllable is a stand-in that has a control endpoint.
type Controllable interface {
	// Faults returns the current faults.
	Faults() any
	// SetFaults sets the faults, given as JSON.
	SetFaults(text []byte) error
	// Ledger returns what the stand-in did, encodable as JSON.
	Ledger() any
	// Act executes an action such as "freeze". It returns false if the stand-in does not have it.
	Act(action string) bool
}

// Crash ends the process immediately with CrashStatus.
func Crash() {
	os.Exit(CrashStatus)
}

// New returns the server of a stand-in's control endpoint.
func New(listen string, standin Controllable) *serve.Server {
	return serve.New(listen, func(x *serve.Exchange) { handle(x, standin) })
}

func handle(x *serve.Exchange, standin Controllable) {
	name := strings.TrimPrefix(x.URL.Path, "/")
	switch x.Method + " " + name {
	case "GET faults":
		x.Reply(http.StatusOK, standin.Faults())
	case "POST faults":
		setFaults(x, standin)
	case "GET ledger":
		x.Reply(http.StatusOK, standin.Ledger())
	case "POST crash":
		Crash()
	default:
		act(x, standin, name)
	}
}

func setFaults(x *serve.Exchange, standin Controllable) {
	if err := standin.SetFaults(x.Body); err != nil {
		x.Fail(http.StatusBadRequest, "faults: %v", err)
		return
	}
	x.ReplyEmpty(http.StatusNoContent)
}

func act(x *serve.Exchange, standin Controllable, action string) {
	if x.Method != http.MethodPost || !standin.Act(action) {
		x.Fail(http.StatusNotFound, "%s /%s is no action of this stand-in", x.Method, action)
		return
	}
	x.ReplyEmpty(http.StatusNoContent)
}
