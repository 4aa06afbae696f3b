package daemon_test

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

const (
	testToken    = "bench-mechanics"
	startTimeout = 5 * time.Second
	stopTimeout  = 10 * time.Second
)

// process is a program of this repository started by a test.
type process struct {
	command *exec.Cmd
	output  *lockedBuffer
	ended   chan error
}

// lockedBuffer collects a process's output.
type lockedBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// start runs bin/program until the test ends. The programs must have been built by "make build".
func start(t testing.TB, program string, environment []string, arguments ...string) *process {
	t.Helper()
	p := &process{
		command: exec.Command(filepath.Join("..", "..", "..", "bin", program), arguments...),
		output:  &lockedBuffer{}, ended: make(chan error, 1),
	}
	p.command.Env = append(os.Environ(), environment...)
	p.command.Stderr, p.command.Stdout = p.output, p.output
	must.NoError(t, p.command.Start())
	go func() { p.ended <- p.command.Wait() }()
	t.Cleanup(func() {
		_ = p.command.Process.Kill()
		if t.Failed() {
			t.Logf("%s %v:\n%s", program, arguments, p.output)
		}
	})
	return p
}

// terminate asks the process to stop and returns how it ended.
func (p *process) terminate(t testing.TB) error {
	t.Helper()
	must.NoError(t, p.command.Process.Signal(syscall.SIGTERM))
	select {
	case err := <-p.ended:
		return err
	case <-time.After(stopTimeout):
		t.Fatalf("the process still runs %s after SIGTERM", stopTimeout)
		return nil
	}
}

// The range of ports for tests, below the ephemeral ports that the system uses for outgoing connections.
const (
	firstTestPort = 10000
	lastTestPort  = 32000
)

// givenAddresses holds the addresses that freeAddress has returned, whose processes may not listen yet.
var givenAddresses sync.Map

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t testing.TB) string {
	t.Helper()
	for {
		address := fmt.Sprintf("127.0.0.1:%d", firstTestPort+rand.IntN(lastTestPort-firstTestPort))
		if _, given := givenAddresses.LoadOrStore(address, true); given {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		must.NoError(t, listener.Close())
		return address
	}
}

// testEndpoint is an endpoint in the test's service document.
type testEndpoint struct {
	id      string
	address string
	control string
	from    int
	to      int
	process *process
}

// testLayers is the number of layers of the test's model.
const testLayers = 12

// documentText returns the text of a service document of the given kind.
func documentText(kind string, endpoints []testEndpoint) string {
	sum := sha256.Sum256([]byte(testToken))
	var text strings.Builder
	fmt.Fprintf(&text, "service: manual\nteam: bench\nkind: %s\n", kind)
	if kind == "pipeline" {
		fmt.Fprintf(&text, "model: {name: assistant, version: \"1\", layers: %d, kvBytes: 64}\n", testLayers)
		fmt.Fprint(&text, "accelerators:\n  - {kind: a, stepTime: 4ms, layerTime: 1us, batch: 1024}\n")
	}
	fmt.Fprint(&text, "classes:\n")
	fmt.Fprint(&text, "  - {name: query, priority: 1, idempotent: true, timeout: 60s, firstToken: 1s}\n")
	if kind == "plain" {
		fmt.Fprint(&text, "  - {name: hold, priority: 0, idempotent: false, timeout: 5s, firstToken: 1s}\n")
	}
	fmt.Fprintf(&text, "organisations:\n  - {name: garage, credential: \"sha256:%s\", share: 1, requestsPerSecond: 10000}\n", hex.EncodeToString(sum[:]))
	fmt.Fprint(&text, "retries: {budgetPercent: 20, endpoints: 3}\nendpoints:\n")
	for _, e := range endpoints {
		fmt.Fprintf(&text, "  - {id: %s, address: %q, failureDomain: plateau", e.id, e.address)
		if kind == "pipeline" {
			fmt.Fprintf(&text, ", accelerator: a, from: %d, to: %d", e.from, e.to)
		}
		fmt.Fprint(&text, "}\n")
	}
	return text.String()
}

// testDaemon is a daemon process with the address of its caller API.
type testDaemon struct {
	*process
	callers string
}

func startDaemon(t testing.TB, environment []string, documents ...string) *testDaemon {
	t.Helper()
	return startDaemons(t, 1, environment, documents...)[0]
}

// startDaemons starts daemons of one failure domain that have each other as seeds, and waits until they are ready.
func startDaemons(t testing.TB, count int, environment []string, documents ...string) []*testDaemon {
	t.Helper()
	var peers []string
	for range count {
		peers = append(peers, freeAddress(t))
	}
	var daemons []*testDaemon
	for i := range peers {
		daemons = append(daemons, launchDaemon(t, i, peers, environment, documents, ""))
	}
	for _, d := range daemons {
		waitFor(t, "the daemon to be ready", func() bool { return statusOf(d.callers, "/readyz") == http.StatusNoContent })
	}
	return daemons
}

// launchDaemon starts one daemon with extra settings without waiting until it is ready.
func launchDaemon(t testing.TB, index int, peers, environment, documents []string, extraSettings string) *testDaemon {
	t.Helper()
	folder := t.TempDir()
	callers := freeAddress(t)
	var seeds []string
	for i, address := range peers {
		if i != index {
			seeds = append(seeds, fmt.Sprintf("%q", address))
		}
	}
	settings := fmt.Sprintf(`id: d%d
region: dakar
failureDomain: plateau
listen: {callers: %q, operators: %q, peers: %q}
seeds: [%s]
platform: {table: %q, objects: %q, weights: %q, vmList: %q}
drainTimeout: 8s
logLevel: info
`, index+1, callers, freeAddress(t), peers[index], strings.Join(seeds, ", "), freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t))
	settingsFile := filepath.Join(folder, "daemon.yaml")
	must.NoError(t, os.WriteFile(settingsFile, []byte(settings+extraSettings), 0o600))
	var files []string
	for i, text := range documents {
		file := filepath.Join(folder, fmt.Sprintf("document%d.yaml", i))
		must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		files = append(files, file)
	}
	d := &testDaemon{callers: callers}
	d.process = start(t, "chicoryhall", environment, "serve", "-settings", settingsFile, "-documents", strings.Join(files, ","))
	return d
}

// startEngines starts two stand-in engines for each half of the model.
func startEngines(t testing.TB) []testEndpoint {
	t.Helper()
	var engines []testEndpoint
	for i := range 4 {
		e := testEndpoint{id: fmt.Sprintf("e%d", i), address: freeAddress(t), control: freeAddress(t), from: 0, to: testLayers / 2}
		if i%2 == 1 {
			e.from, e.to = testLayers/2, testLayers
		}
		e.process = start(t, "chicorystand", nil, "engine", "-id", e.id, "-listen", e.address, "-control", e.control,
			"-holdings", fmt.Sprintf("assistant@1:%d-%d", e.from, e.to), "-failure-domain", "plateau")
		engines = append(engines, e)
	}
	for _, e := range engines {
		waitFor(t, "engine "+e.id, func() bool { return statusOf(e.address, "/healthz") == http.StatusNoContent })
	}
	return engines
}

// statusOf returns the status code of a GET request, or 0 if it failed.
func statusOf(address, path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// waitFor waits until done returns true and fails the test after startTimeout.
func waitFor(t testing.TB, what string, done func() bool) {
	t.Helper()
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatalf("waited %s for %s", startTimeout, what)
}

// requestsPath is the path for submissions to the test's service.
const requestsPath = "/v1/services/manual/requests"
