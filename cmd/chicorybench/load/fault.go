package load

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
)

// controlTimeout bounds one request to a stand-in's control address.
const controlTimeout = 2 * time.Second

// signals maps the names of the signals that a fault may send.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

// injectFault sends the fault's signal if it has a PIDFile, or else its request to the stand-in.
func injectFault(ctx context.Context, fault plan.Fault) error {
	if fault.PIDFile != "" {
		return sendSignal(fault)
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	url := "http://" + fault.ControlAddress + fault.Path
	request, err := http.NewRequestWithContext(timeoutCtx, http.MethodPost, url, strings.NewReader(fault.Body))
	if err != nil {
		return errors.Wrapf(err, "fault %q: create request", fault.Name)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil && strings.HasSuffix(fault.Path, "/crash") {
		// The process ends before it answers, so an error is expected. A process that was not running, or a wrong address,
		// is therefore not noticed.
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "fault %q: send request", fault.Name)
	}
	defer response.Body.Close()
	if response.StatusCode >= http.StatusBadRequest {
		return errors.Errorf("fault %q: %s answered %s", fault.Name, url, response.Status)
	}
	return nil
}

func sendSignal(fault plan.Fault) error {
	signal, known := signals[fault.Signal]
	if !known {
		return errors.Errorf("fault %q: signal %q is not KILL, STOP, CONT or TERM", fault.Name, fault.Signal)
	}
	text, err := os.ReadFile(fault.PIDFile)
	if err != nil {
		return errors.Wrapf(err, "fault %q: read process ID", fault.Name)
	}
	pid, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return errors.Wrapf(err, "fault %q: decode process ID in %s", fault.Name, fault.PIDFile)
	}
	return errors.Wrapf(syscall.Kill(pid, signal), "fault %q: send signal %s to process %d", fault.Name, fault.Signal, pid)
}
