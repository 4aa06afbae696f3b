package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/settings"
)

// cluster is a failure domain with daemons, engines, a plain service and a
// platform. Each endpoint, the platform and the daemons' connections to each other are behind links of the proxy.
type cluster struct {
	folder    string
	proxy     *standin
	platform  *platform
	engines   []*engine
	plains    []*plain
	daemons   []*daemon
	documents []string
	// tokens is the path of the file with the operator tokens.
	tokens string
}

// clusterSize is the number of processes in a cluster.
type clusterSize struct {
	daemons int
	// enginesPerStage is the number of engines that hold the same layers.
	enginesPerStage int
	plains          int
}

var defaultSize = clusterSize{daemons: 2, enginesPerStage: 2, plains: 2}

// endpoint is a stand-in behind a link of the proxy. address is the address of the link, directAddress the stand-in's.
type endpoint struct {
	standin
	id            chicoryhall.EndpointID
	address       string
	directAddress string
}

type engine struct {
	endpoint
	from, to int
}

type plain struct{ endpoint }

type platform struct{ endpoint }

type daemon struct {
	*process
	id        chicoryhall.DaemonID
	callers   string
	operators string
	// peers is the address on which the daemon listens for peers. Its peers use proxyAddress, which leads through the proxy.
	peers        string
	proxyAddress string
	settings     string
}

// newCluster starts a cluster and waits until its daemons are ready.
func newCluster(t *testing.T, s clusterSize) *cluster {
	t.Helper()
	c := &cluster{folder: t.TempDir()}
	c.tokens = filepath.Join(c.folder, "operator-tokens")
	must.NoError(t, os.WriteFile(c.tokens, []byte(team+" "+operatorToken+"\n"), 0o600))
	c.assignAddresses(t, s)
	c.startProxy(t)
	c.startPlatform(t)
	for _, e := range c.engines {
		c.startEngine(t, e)
	}
	for _, p := range c.plains {
		c.startPlain(t, p)
	}
	c.documents = []string{writeYAML(t, c.folder, "drafting.yaml", draftingDocument(c.engines))}
	if len(c.plains) > 0 {
		c.documents = append(c.documents, writeYAML(t, c.folder, "booking.yaml", bookingDocument(c.plains)))
	}
	for _, e := range c.endpoints() {
		c.awaitEndpoint(t, e)
	}
	for _, d := range c.daemons {
		c.startDaemon(t, d)
	}
	c.applyDocuments(t)
	for _, d := range c.daemons {
		c.awaitReady(t, d)
	}
	return c
}

// awaitEndpoint waits until an endpoint answers through its link. On a timeout, it logs the goroutine stacks of the
// endpoint and of the proxy.
func (c *cluster) awaitEndpoint(t *testing.T, e *endpoint) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); !answers(e.address, "/healthz"); time.Sleep(pollPeriod) {
		if time.Now().Before(deadline) {
			continue
		}
		t.Logf("%s at its own address: %t; its control: %t", e.id, answers(e.directAddress, "/healthz"), answers(e.control, "/ledger"))
		for _, p := range []*process{c.proxy.process, e.process} {
			p.signal(syscall.SIGQUIT)
			p.wait(time.Second)
			t.Logf("stacks of %s:\n%s", p.name, p.output.String())
		}
		t.Fatalf("%s did not answer through its link within %s", e.id, startTimeout)
	}
}

// applyDocuments applies the documents with chicoryctl at the first daemon.
func (c *cluster) applyDocuments(t *testing.T) {
	t.Helper()
	d := c.daemons[0]
	eventually(t, string(d.id)+" answers operators", startTimeout, func() bool {
		must.True(t, d.running(), must.Sprintf("%s ended: %s", d.id, d.output.String()))
		return answers(d.operators, "/healthz")
	})
	for _, path := range c.documents {
		ctl := exec.Command(program(t, "chicoryctl"), "apply", "-server", d.operators, path)
		ctl.Env = append(os.Environ(), "CHICORYCTL_TOKEN="+operatorToken)
		out, err := ctl.CombinedOutput()
		must.NoError(t, err, must.Sprint(string(out)))
	}
	c.awaitVersion(t, drafting, 1)
	if len(c.plains) > 0 {
		c.awaitVersion(t, booking, 1)
	}
}

// assignAddresses assigns names and addresses to all processes.
func (c *cluster) assignAddresses(t *testing.T, s clusterSize) {
	t.Helper()
	c.platform = &platform{newEndpoint(t, "platform")}
	for stage := range stages {
		for i := range s.enginesPerStage {
			width := layers / stages
			e := &engine{endpoint: newEndpoint(t, fmt.Sprintf("engine-%d-%d", stage, i)), from: stage * width, to: (stage + 1) * width}
			c.engines = append(c.engines, e)
		}
	}
	for i := range s.plains {
		c.plains = append(c.plains, &plain{newEndpoint(t, fmt.Sprintf("booking-%d", i))})
	}
	for i := range s.daemons {
		c.daemons = append(c.daemons, &daemon{
			id:      chicoryhall.DaemonID(fmt.Sprintf("entry-%d", i)),
			callers: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t), proxyAddress: freeAddress(t),
		})
	}
}

func newEndpoint(t *testing.T, id string) endpoint {
	t.Helper()
	return endpoint{
		id: chicoryhall.EndpointID(id), address: freeAddress(t), directAddress: freeAddress(t),
		standin: standin{control: freeAddress(t)},
	}
}

// endpoints returns the platform and all endpoints.
func (c *cluster) endpoints() []*endpoint {
	all := []*endpoint{&c.platform.endpoint}
	for _, e := range c.engines {
		all = append(all, &e.endpoint)
	}
	for _, p := range c.plains {
		all = append(all, &p.endpoint)
	}
	return all
}

func (c *cluster) startProxy(t *testing.T) {
	t.Helper()
	c.proxy = &standin{control: freeAddress(t)}
	arguments := []string{"proxy", "-control", c.proxy.control}
	for _, e := range c.endpoints() {
		arguments = append(arguments, e.address+"="+e.directAddress)
	}
	for _, d := range c.daemons {
		arguments = append(arguments, d.proxyAddress+"="+d.peers)
	}
	c.proxy.process = start(t, "proxy", "chicorystand", arguments...)
}

func (c *cluster) startPlatform(t *testing.T) {
	t.Helper()
	c.platform.process = start(t, "platform", "chicorystand", "platform",
		"-listen", c.platform.directAddress, "-control", c.platform.control, "-vm-lag", "500ms")
}

func (c *cluster) startEngine(t *testing.T, e *engine) {
	t.Helper()
	e.process = start(t, string(e.id), "chicorystand", "engine",
		"-id", string(e.id), "-listen", e.directAddress, "-address", e.address, "-control", e.control,
		"-failure-domain", string(domain), "-accelerator", string(accelerator),
		"-step-time", stepTime.String(), "-layer-time", layerTime.String(), "-batch", fmt.Sprint(batch),
		"-holdings", fmt.Sprintf("%s@%s:%d-%d", modelName, modelVersion, e.from, e.to),
		"-fencing", "-vm-list", c.platform.address)
}

func (c *cluster) startPlain(t *testing.T, p *plain) {
	t.Helper()
	p.process = start(t, string(p.id), "chicorystand", "plain",
		"-id", string(p.id), "-listen", p.directAddress, "-address", p.address, "-control", p.control,
		"-failure-domain", string(domain), "-vm-list", c.platform.address, "-service-time", "20ms")
}

// startDaemon starts a daemon. It gets its documents from the table and from its peers.
func (c *cluster) startDaemon(t *testing.T, d *daemon) {
	t.Helper()
	own := settings.DocumentDaemon{
		ID: d.id, Region: "tw-north", FailureDomain: domain,
		Listen:    settings.Listen{Callers: d.callers, Operators: d.operators, Peers: d.peers},
		Advertise: settings.Advertise{Peers: d.proxyAddress},
		Platform: settings.Platform{
			Table: c.platform.address, Objects: c.platform.address, Weights: c.platform.address, VMList: c.platform.address,
		},
		OperatorTokensFile: c.tokens,
		DrainTimeout:       20 * time.Second,
		LogLevel:           "info",
	}
	for _, other := range c.daemons {
		if other != d {
			own.Seeds = append(own.Seeds, other.proxyAddress)
		}
	}
	d.settings = writeYAML(t, c.folder, string(d.id)+".yaml", own)
	d.process = start(t, string(d.id), "chicoryhall", "serve", "-settings", d.settings)
}

func (c *cluster) awaitReady(t *testing.T, d *daemon) {
	t.Helper()
	eventually(t, string(d.id)+" is ready", startTimeout, func() bool {
		must.True(t, d.running(), must.Sprintf("%s ended: %s", d.id, d.output.String()))
		return answers(d.callers, "/readyz")
	})
}

// setLinkFaults sets the faults of an endpoint's link.
func (c *cluster) setLinkFaults(t *testing.T, e *endpoint, faults linkFaults) {
	t.Helper()
	c.proxy.setFaults(t, proxyFaults{Links: map[string]linkFaults{e.address: faults}})
}

// cutDaemons cuts all connections between the daemons, or ends the cut.
func (c *cluster) cutDaemons(t *testing.T, cut bool) {
	t.Helper()
	faults := proxyFaults{Links: map[string]linkFaults{}}
	for _, d := range c.daemons {
		faults.Links[d.proxyAddress] = linkFaults{Cut: cut}
	}
	c.proxy.setFaults(t, faults)
}

// silence makes the open connections to an endpoint silent. New ones work.
func (c *cluster) silence(t *testing.T, e *endpoint) {
	t.Helper()
	c.proxy.act(t, "silence/"+e.address)
}

// stageRun is a ledger entry with the engine that made it.
type stageRun struct {
	engineRun
	engine *engine
}

// runsOf returns what the engines that are still running ran of a request.
func (c *cluster) runsOf(t *testing.T, id chicoryhall.RequestID) []stageRun {
	t.Helper()
	var runs []stageRun
	for _, e := range c.engines {
		var ledger engineLedger
		e.ledger(t, &ledger)
		for _, run := range ledger.Runs {
			if run.Stream == id {
				runs = append(runs, stageRun{engineRun: run, engine: e})
			}
		}
	}
	return runs
}

// executions returns how often the plain service ran an operation with the given body.
func (c *cluster) executions(t *testing.T, body string) int {
	t.Helper()
	total := 0
	for _, p := range c.plains {
		var ledger plainLedger
		p.ledger(t, &ledger)
		for _, call := range ledger.Calls {
			if call.Body == body {
				total += call.Executions
			}
		}
	}
	return total
}
