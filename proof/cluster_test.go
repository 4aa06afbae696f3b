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

// cluster is one failure domain: daemons, engines, a plain service and a
// platform, with each endpoint and the platform behind a link of the proxy.
type cluster struct {
	folder    string
	proxy     *standin
	platform  *platform
	engines   []*engine
	plains    []*plain
	daemons   []*daemon
	documents []string
	// tokens is the file with the operators' tokens.
	tokens string
}

// size is what a cluster consists of.
type size struct {
	daemons int
	// enginesPerStage hold the same layers.
	enginesPerStage int
	plains          int
}

var usual = size{daemons: 2, enginesPerStage: 2, plains: 2}

// endpoint is a stand-in behind a link; address is the link's.
type endpoint struct {
	standin
	id      chicoryhall.EndpointID
	address string
	own     string
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
	// peers is what the daemon listens on, link where its peers reach it through the proxy.
	peers    string
	link     string
	settings string
}

// newCluster starts a cluster and waits until its daemons are ready.
func newCluster(t *testing.T, s size) *cluster {
	t.Helper()
	c := &cluster{folder: t.TempDir()}
	c.tokens = filepath.Join(c.folder, "operator-tokens")
	must.NoError(t, os.WriteFile(c.tokens, []byte(team+" "+operatorToken+"\n"), 0o600))
	c.plan(t, s)
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
	c.apply(t)
	for _, d := range c.daemons {
		c.awaitReady(t, d)
	}
	return c
}

// awaitEndpoint waits until an endpoint answers through its link; if it does not, the stacks of
// it and of the proxy are shown.
func (c *cluster) awaitEndpoint(t *testing.T, e *endpoint) {
	t.Helper()
	for deadline := time.Now().Add(startTimeout); !answers(e.address, "/healthz"); time.Sleep(poll) {
		if time.Now().Before(deadline) {
			continue
		}
		t.Logf("%s at its own address: %t; its control: %t", e.id, answers(e.own, "/healthz"), answers(e.control, "/ledger"))
		for _, p := range []*process{c.proxy.process, e.process} {
			p.signal(syscall.SIGQUIT)
			p.wait(time.Second)
			t.Logf("stacks of %s:\n%s", p.name, p.output.String())
		}
		t.Fatalf("%s did not answer through its link within %s", e.id, startTimeout)
	}
}

// apply makes the documents known by chicoryctl at the first daemon.
func (c *cluster) apply(t *testing.T) {
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

// plan gives every process its name and addresses.
func (c *cluster) plan(t *testing.T, s size) {
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
			callers: freeAddress(t), operators: freeAddress(t), peers: freeAddress(t), link: freeAddress(t),
		})
	}
}

func newEndpoint(t *testing.T, id string) endpoint {
	t.Helper()
	return endpoint{
		id: chicoryhall.EndpointID(id), address: freeAddress(t), own: freeAddress(t),
		standin: standin{control: freeAddress(t)},
	}
}

// endpoints returns everything that stands behind a link.
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
		arguments = append(arguments, e.address+"="+e.own)
	}
	for _, d := range c.daemons {
		arguments = append(arguments, d.link+"="+d.peers)
	}
	c.proxy.process = start(t, "proxy", "chicorystand", arguments...)
}

func (c *cluster) startPlatform(t *testing.T) {
	t.Helper()
	c.platform.process = start(t, "platform", "chicorystand", "platform",
		"-listen", c.platform.own, "-control", c.platform.control, "-vm-lag", "500ms")
}

func (c *cluster) startEngine(t *testing.T, e *engine) {
	t.Helper()
	e.process = start(t, string(e.id), "chicorystand", "engine",
		"-id", string(e.id), "-listen", e.own, "-address", e.address, "-control", e.control,
		"-failure-domain", string(domain), "-accelerator", string(accelerator),
		"-step-time", stepTime.String(), "-layer-time", layerTime.String(), "-batch", fmt.Sprint(batch),
		"-holdings", fmt.Sprintf("%s@%s:%d-%d", modelName, modelVersion, e.from, e.to),
		"-fencing", "-vm-list", c.platform.address)
}

func (c *cluster) startPlain(t *testing.T, p *plain) {
	t.Helper()
	p.process = start(t, string(p.id), "chicorystand", "plain",
		"-id", string(p.id), "-listen", p.own, "-address", p.address, "-control", p.control,
		"-failure-domain", string(domain), "-vm-list", c.platform.address, "-service-time", "20ms")
}

// startDaemon starts a daemon, which has its documents from the table and its peers.
func (c *cluster) startDaemon(t *testing.T, d *daemon) {
	t.Helper()
	own := settings.Daemon{
		ID: d.id, Region: "tw-north", FailureDomain: domain,
		Listen:    settings.Listen{Callers: d.callers, Operators: d.operators, Peers: d.peers},
		Advertise: settings.Advertise{Peers: d.link},
		Platform: settings.Platform{
			Table: c.platform.address, Objects: c.platform.address, Weights: c.platform.address, VMList: c.platform.address,
		},
		OperatorTokensFile: c.tokens,
		DrainTimeout:       20 * time.Second,
		LogLevel:           "info",
	}
	for _, other := range c.daemons {
		if other != d {
			own.Seeds = append(own.Seeds, other.link)
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

// link sets the faults of the link before an endpoint.
func (c *cluster) link(t *testing.T, e *endpoint, faults linkFaults) {
	t.Helper()
	c.proxy.faults(t, linksFaults{Links: map[string]linkFaults{e.address: faults}})
}

// cutDaemons cuts the daemons off from each other, and joins them again.
func (c *cluster) cutDaemons(t *testing.T, cut bool) {
	t.Helper()
	faults := linksFaults{Links: map[string]linkFaults{}}
	for _, d := range c.daemons {
		faults.Links[d.link] = linkFaults{Cut: cut}
	}
	c.proxy.faults(t, faults)
}

// silence makes the open connections to an endpoint silent; new ones work.
func (c *cluster) silence(t *testing.T, e *endpoint) {
	t.Helper()
	c.proxy.act(t, "silence/"+e.address)
}

// stageRun is what one engine ran of one request.
type stageRun struct {
	engineRun
	engine *engine
}

// runsOf returns what the engines that still live ran of a request.
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

// executions returns how often the plain service ran operations with a body.
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
