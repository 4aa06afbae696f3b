package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// The deploy file's program, and its template of the settings.
const (
	program  = "target/chicoryhall"
	template = "deploy/settings.yaml"
)

// machine is an entry VM with its daemon.
type machine struct {
	name   string
	ip     string
	zone   string
	number int
	// base is the first of its ports.
	base    int
	store   string
	folder  string
	command *exec.Cmd
	ended   chan struct{}
}

// The ports of a machine, from its base on.
const (
	portCallers = iota
	portReady
	portInternalFirst
	portInternalLast = portInternalFirst + 15
	portCount        = portInternalLast + 1
)

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, m.base+port) }

// freeBase returns a port from which on all ports of all machines are free.
func freeBase(machines []*machine) (int, error) {
	for range 200 {
		base := 20000 + rand.IntN(10000)
		if isFree(machines, base) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func isFree(machines []*machine, base int) bool {
	for _, m := range machines {
		for port := range portCount {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, base+port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

var placeholder = regexp.MustCompile(`\{\{([a-zA-Z0-9_.]+)(\|json)?\}\}`)

// settings fills in the template of the deploy file.
func (m *machine) settings() (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	values := map[string]any{
		"node": m.name, "region": "dakar", "zone": m.zone, "ip": m.ip, "listen.front": m.at(portCallers), "listen.ready": m.at(portReady),
		"internalPorts.0": m.base + portInternalFirst, "internalPorts.1": m.base + portInternalLast, "limits.cpuShare": 0.4,
		"limits.memoryMb": 284, "limits.maxFds": 4100, "platform.address": m.store, "bounds.stableWindowMs": 3000,
		"bounds.retryBudgetRatio": 0.2, "bounds.budgetSlack": 200, "bounds.budgetWindowS": 10, "bounds.graceS": 8,
	}
	missing := ""
	filled := placeholder.ReplaceAllStringFunc(string(text), func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, known := values[parts[1]]
		if !known {
			missing = parts[1]
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		quoted, _ := json.Marshal(value)
		return string(quoted)
	})
	if missing != "" {
		return "", fmt.Errorf("the template has the field %q, which this stand-in does not know", missing)
	}
	return filled, nil
}

// start starts the daemon as the deploy file says.
func (m *machine) start() error {
	text, err := m.settings()
	if err != nil {
		return err
	}
	path := filepath.Join(m.folder, m.name+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(m.folder, m.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	m.command = exec.Command(program, "pass")
	m.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + m.folder, "CHICORYHALL_SETTINGS=" + path}
	m.command.Stdout, m.command.Stderr = log, log
	if err := m.command.Start(); err != nil {
		return err
	}
	_ = log.Close()
	ended, command := make(chan struct{}), m.command
	m.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the daemon.
func (m *machine) signal(sent syscall.Signal) {
	if m.command != nil && m.command.Process != nil {
		_ = m.command.Process.Signal(sent)
	}
}

// kill ends the daemon and waits for its end.
func (m *machine) kill() {
	if m.command == nil || m.command.Process == nil {
		return
	}
	m.signal(syscall.SIGCONT)
	m.signal(syscall.SIGKILL)
	<-m.ended
}

// hasEnded reports whether the daemon's process has ended.
func (m *machine) hasEnded() bool {
	select {
	case <-m.ended:
		return true
	default:
		return false
	}
}

// isReady asks the daemon as the platform does.
func (m *machine) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.at(portReady) + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// logTail returns the last lines of the daemon's log that contain a text.
func (m *machine) logTail(text string, most int) []string {
	all, _ := os.ReadFile(filepath.Join(m.folder, m.name+".log"))
	var found []string
	for line := range strings.SplitSeq(string(all), "\n") {
		if strings.Contains(line, text) {
			found = append(found, line)
		}
	}
	return found[max(0, len(found)-most):]
}
