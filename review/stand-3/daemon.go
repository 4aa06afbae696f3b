package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"time"
)

// daemon is one process of the project, started with the command of the deploy file.
type daemon struct {
	name, zone, ip string
	base           int
	settings       string
	process        *exec.Cmd
	out            *os.File
}

func (d *daemon) callers() string { return net.JoinHostPort(d.ip, strconv.Itoa(d.base)) }

func (d *daemon) ready() string { return net.JoinHostPort(d.ip, strconv.Itoa(d.base+1)) }

// placeholder is one of the template of settings.
var placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)

// writeSettings fills in the project's template as the platform does, for a small deployment.
func (d *daemon) writeSettings(root, folder, store string) error {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "settings.yaml"))
	if err != nil {
		return err
	}
	values := map[string]string{
		"node": d.name, "region": "tw-north", "zone": d.zone, "ip": d.ip, "listen.front": d.callers(), "listen.ready": d.ready(),
		"internalPorts.0": strconv.Itoa(d.base + 2), "internalPorts.1": strconv.Itoa(d.base + 17), "limits.cpuShare": "0.4", "limits.memoryMb": "284",
		"limits.maxFds": "4100", "platform.address": store, "bounds.stableWindowMs": "3000", "bounds.retryBudgetRatio": "0.2",
		"bounds.budgetSlack": "198", "bounds.budgetWindowS": "10", "bounds.graceS": "8",
	}
	missing := ""
	filled := placeholder.ReplaceAllStringFunc(string(text), func(found string) string {
		name := strings.TrimSuffix(strings.Trim(found, "{}"), "|json")
		value, known := values[name]
		if !known {
			missing = name
		}
		if strings.Contains(found, "|json") {
			return strconv.Quote(value)
		}
		return value
	})
	if missing != "" {
		return fmt.Errorf("the template names %q", missing)
	}
	d.settings = filepath.Join(folder, d.name+".yaml")
	return os.WriteFile(d.settings, []byte(filled), 0o600)
}

// start runs the command of the deploy file.
func (d *daemon) start(root, folder string) error {
	var err error
	if d.out, err = os.OpenFile(filepath.Join(folder, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600); err != nil {
		return err
	}
	d.process = exec.Command("target/chicoryhall", "pass")
	d.process.Dir, d.process.Stdout, d.process.Stderr = root, d.out, d.out
	d.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CHICORYHALL_SETTINGS=" + d.settings}
	return d.process.Start()
}

// awaitReady waits until the daemon says that it is ready.
func (d *daemon) awaitReady(limit time.Duration) bool {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + d.ready() + "/-/ready")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// kill ends the process at once.
func (d *daemon) kill() {
	if d.process != nil && d.process.Process != nil {
		_ = d.process.Process.Kill()
		_ = d.process.Wait()
		_ = d.out.Close()
		d.process = nil
	}
}

// freeBase returns the first of 20 consecutive ports that are free at an address.
func freeBase(ip string, from int) int {
	for base := from; base < 60000; base += 20 {
		if arePortsFree(ip, base) {
			return base
		}
	}
	return 0
}

func arePortsFree(ip string, base int) bool {
	for port := base; port < base+20; port++ {
		listener, err := net.Listen("tcp", net.JoinHostPort(ip, strconv.Itoa(port)))
		if err != nil {
			return false
		}
		_ = listener.Close()
	}
	return true
}
