package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// daemon is a process of the project, started with the command of the deploy file.
type daemon struct {
	node, front, ready string
	root, path         string

	mu      sync.Mutex
	command *exec.Cmd
	log     *os.File
	ended   chan struct{}
}

// freePorts returns a base port of an address behind which the next ones are free too.
func freePort(ip string) int {
	for range 100 {
		listener, err := net.Listen("tcp", ip+":0")
		if err != nil {
			panic(err)
		}
		port := listener.Addr().(*net.TCPAddr).Port
		_ = listener.Close()
		if port+16 > 65000 {
			continue
		}
		free := true
		for next := port; next < port+16 && free; next++ {
			probe, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, next))
			free = err == nil
			if free {
				_ = probe.Close()
			}
		}
		if free {
			return port
		}
	}
	panic("no free ports")
}

// settings fills in the template of the settings as the platform does.
func settings(root, node, zone, ip, storeAddress string, port int) (text string, front, ready string) {
	template, err := os.ReadFile(filepath.Join(root, "deploy", "settings.yaml"))
	if err != nil {
		panic(err)
	}
	front, ready = fmt.Sprintf("%s:%d", ip, port+14), fmt.Sprintf("%s:%d", ip, port+13)
	quote := func(text string) string {
		quoted, _ := json.Marshal(text)
		return string(quoted)
	}
	filled := strings.NewReplacer(
		"{{node|json}}", quote(node), "{{region|json}}", quote("tw-north"), "{{zone|json}}", quote(zone),
		"{{listen.front|json}}", quote(front), "{{listen.ready|json}}", quote(ready), "{{ip}}", ip,
		"{{internalPorts.0}}", fmt.Sprint(port), "{{internalPorts.1}}", fmt.Sprint(port+12),
		"{{limits.cpuShare}}", "0.4", "{{platform.address|json}}", quote(storeAddress),
		"{{bounds.stableWindowMs}}", "3000", "{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetSlack}}", "198",
		"{{bounds.budgetWindowS}}", "10", "{{bounds.graceS}}", "8",
	).Replace(string(template))
	if strings.Contains(filled, "{{") {
		panic("a placeholder of the template is not filled in: " + filled)
	}
	return filled, front, ready
}

// start writes the settings of a daemon and starts it.
func start(root, folder, node, zone, ip, storeAddress string) *daemon {
	text, front, ready := settings(root, node, zone, ip, storeAddress, freePort(ip))
	path := filepath.Join(folder, node+".yaml")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	d := &daemon{node: node, front: front, ready: ready, root: root, path: path}
	d.run()
	return d
}

// run starts the process with the command of the deploy file.
func (d *daemon) run() {
	folder := filepath.Dir(d.path)
	log, err := os.OpenFile(filepath.Join(folder, d.node+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	command := exec.Command(filepath.Join(d.root, "target", "chicoryhall"), "pass")
	command.Dir = d.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + folder, "CHICORYHALL_SETTINGS=" + d.path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		panic(err)
	}
	ended := make(chan struct{})
	d.mu.Lock()
	d.command, d.log, d.ended = command, log, ended
	d.mu.Unlock()
	go func() {
		_ = command.Wait()
		_ = log.Close()
		close(ended)
	}()
}

// isReady asks the daemon whether it is ready.
func (d *daemon) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + d.ready + "/-/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// awaitReady waits until all daemons are ready.
func awaitReady(daemons []*daemon) bool {
	for until := time.Now().Add(15 * time.Second); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		all := true
		for _, d := range daemons {
			all = all && d.isReady()
		}
		if all {
			return true
		}
	}
	return false
}

func (d *daemon) signal(s syscall.Signal) {
	d.mu.Lock()
	defer d.mu.Unlock()
	_ = d.command.Process.Signal(s)
}

// pid returns the ID of the process.
func (d *daemon) pid() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.command.Process.Pid
}

// awaitEnd returns a channel that is closed when the process has ended.
func (d *daemon) awaitEnd() <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ended
}

// hasEnded reports whether the process has ended.
func (d *daemon) hasEnded() bool {
	select {
	case <-d.awaitEnd():
		return true
	default:
		return false
	}
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.signal(syscall.SIGKILL)
	<-d.awaitEnd()
}
