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

// faultTimeout bounds one request to a control endpoint.
const faultTimeout = 2 * time.Second

// signals are the signals that a fault may send.
var signals = map[string]syscall.Signal{
	"KILL": syscall.SIGKILL,
	"STOP": syscall.SIGSTOP,
	"CONT": syscall.SIGCONT,
	"TERM": syscall.SIGTERM,
}

// injectFault injects one fault.
func injectFault(ctx context.Context, fault plan.Fault) error {
	if fault.PIDFile != "" {
		return sendSignal(fault)
	}
	timeoutCtx, cancel := context.WithTimeout(ctx, faultTimeout)
	defer cancel()
	url := "http://" + fault.Control + fault.Path
	message, err := http.NewRequestWithContext(timeoutCtx, http.MethodPost, url, strings.NewReader(fault.Body))
	if err != nil {
		return errors.Wrapf(err, "fault %q", fault.Name)
	}
	response, err := http.DefaultClient.Do(message)
	if err != nil && strings.HasSuffix(fault.Path, "/crash") {
		return nil
	}
	if err != nil {
		return errors.Wrapf(err, "fault %q", fault.Name)
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
		return errors.Wrapf(err, "fault %q", fault.Name)
	}
	id, err := strconv.Atoi(strings.TrimSpace(string(text)))
	if err != nil {
		return errors.Wrapf(err, "fault %q: process id in %s", fault.Name, fault.PIDFile)
	}
	return errors.Wrapf(syscall.Kill(id, signal), "fault %q: signal %s to process %d", fault.Name, fault.Signal, id)
}
