package layout

import (
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/pipeline"
)

// The ports of the processes; every address is on the loopback interface.
const (
	address         = "127.0.0.1"
	portBalancer    = 7000
	portPlatform    = 7001
	portControls    = 7100
	portCallers     = 7300
	portOperators   = 7400
	portPeers       = 7500
	portEndpoints   = 7600
	region          = chicoryhall.Region("tw-north")
	wholeEngines    = 30
	wholeEndpoints  = 3
	minimumDaemons  = 2
	wholeDaemons    = 3
	kvCapacity      = 400_000
	reportLag       = 200 * time.Millisecond
	vmListLag       = 3 * time.Second
	drainTimeout    = 20 * time.Second
	tokenBytesOfKV  = 512
	layersPerModel  = 24
	rangesPerModel  = 3
	defaultBatch    = 8
	organisationsOf = 3
)

// domains are the failure domains of the deployment.
var domains = []chicoryhall.FailureDomain{"xinyi", "neihu", "banqiao"}

// accelerators are the kinds of the engines, one a failure domain.
var accelerators = []chicoryhall.DocumentAccelerator{
	{Kind: "large", StepTime: 4 * time.Millisecond, LayerTokenTime: 30 * time.Microsecond, MaxBatch: defaultBatch},
	{Kind: "medium", StepTime: 6 * time.Millisecond, LayerTokenTime: 45 * time.Microsecond, MaxBatch: defaultBatch},
	{Kind: "small", StepTime: 9 * time.Millisecond, LayerTokenTime: 70 * time.Microsecond, MaxBatch: defaultBatch},
}

// Options are what a user may set.
type Options struct {
	// Scale is the size of the deployment; 1 is that of one of today's users.
	Scale float64
	// PortOffset moves every port, so that several deployments fit on one machine.
	PortOffset int
	Seed       uint64
	Duration   time.Duration
	// Load multiplies the rates of all traffic, PlainLoad those of plain services besides.
	Load      float64
	PlainLoad float64
	// Daemons is the number of daemons in each failure domain; 0 follows the scale.
	Daemons int
	// Routing is the daemons' way to choose engines.
	Routing pipeline.Policy
	// Command is how the layout was asked for, for reports.
	Command string
	// Scenario names the faults of the plan.
	Scenario string
}

// Layout is one deployment with its processes and services.
type Layout struct {
	options  Options
	services []service
	daemons  []daemon
	ports    int
}

// service is one service with its document and its callers' tokens.
type service struct {
	document chicoryhall.Document
	tokens   []string
}

// daemon is one chicoryhall process.
type daemon struct {
	id        chicoryhall.DaemonID
	domain    chicoryhall.FailureDomain
	callers   string
	operators string
	peers     string
}

// New lays a deployment out.
func New(options Options) *Layout {
	l := &Layout{options: options}
	l.addDaemons()
	l.addPipeline(lanternVowDrafting())
	l.addPlain(lanternVowBooking())
	l.addPipeline(associationAssistant())
	l.addPlain(associationLibrary())
	return l
}

func (l *Layout) addr(port int) string {
	return fmt.Sprintf("%s:%d", address, port+l.options.PortOffset)
}

// scaled returns a whole count at the chosen scale, at least least.
func (l *Layout) scaled(whole, least int) int {
	return max(least, int(float64(whole)*l.options.Scale+0.5))
}

func (l *Layout) addDaemons() {
	perDomain := l.options.Daemons
	if perDomain == 0 {
		perDomain = l.scaled(wholeDaemons, minimumDaemons)
	}
	for _, domain := range domains {
		for i := range perDomain {
			n := len(l.daemons)
			l.daemons = append(l.daemons, daemon{
				id:        chicoryhall.DaemonID(fmt.Sprintf("%s-%d", domain, i+1)),
				domain:    domain,
				callers:   l.addr(portCallers + n),
				operators: l.addr(portOperators + n),
				peers:     l.addr(portPeers + n),
			})
		}
	}
}

// nextEndpoint returns the address and the control address of one more endpoint.
func (l *Layout) nextEndpoint() (string, string) {
	l.ports++
	return l.addr(portEndpoints + l.ports), l.control(l.ports)
}

func (l *Layout) control(n int) string {
	return l.addr(portControls + n)
}

// addPipeline spreads a model's ranges of layers over the failure domains.
func (l *Layout) addPipeline(s service) {
	perRange := l.scaled(wholeEngines, rangesPerModel*len(domains)) / (rangesPerModel * len(domains))
	width := s.document.Model.Layers / rangesPerModel
	for d, domain := range domains {
		for r := range rangesPerModel {
			for i := range perRange {
				endpoint, _ := l.nextEndpoint()
				s.document.Endpoints = append(s.document.Endpoints, chicoryhall.DocumentEndpoint{
					ID:            chicoryhall.EndpointID(fmt.Sprintf("%s-%s-%d-%d", s.document.Model.Name, domain, r, i+1)),
					Address:       endpoint,
					FailureDomain: domain,
					Accelerator:   accelerators[d].Kind,
					From:          r * width,
					To:            (r + 1) * width,
					Fencing:       i%2 == 0,
				})
			}
		}
	}
	s.document.Accelerators = accelerators
	l.services = append(l.services, s)
}

// addPlain puts a plain service's endpoints into the failure domains in turn.
func (l *Layout) addPlain(s service) {
	for i := range l.scaled(wholeEndpoints, 2) {
		endpoint, _ := l.nextEndpoint()
		s.document.Endpoints = append(s.document.Endpoints, chicoryhall.DocumentEndpoint{
			ID:            chicoryhall.EndpointID(fmt.Sprintf("%s-%d", s.document.Service, i+1)),
			Address:       endpoint,
			FailureDomain: domains[i%len(domains)],
		})
	}
	l.services = append(l.services, s)
}
