package layout

import (
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/pipeline"
)

// The addresses and sizes of the deployment. Ports of several processes are numbered from the given one.
const (
	host                    = "127.0.0.1"
	portBalancer            = 7000
	portPlatform            = 7001
	portControls            = 7100
	portCallers             = 7300
	portOperators           = 7400
	portPeers               = 7500
	portEndpoints           = 7600
	region                  = chicoryhall.Region("tw-north")
	fullScaleEngines        = 30
	fullScalePlainEndpoints = 3
	minDaemons              = 2
	fullScaleDaemons        = 3
	kvCapacity              = 400_000
	reportLag               = 200 * time.Millisecond
	vmListLag               = 3 * time.Second
	drainTimeout            = 20 * time.Second
	kvBytesPerToken         = 512
	layersPerModel          = 24
	rangesPerModel          = 3
	defaultBatch            = 8
	organisationsPerService = 3
)

// domains are the failure domains of the deployment.
var domains = []chicoryhall.FailureDomain{"xinyi", "neihu", "banqiao"}

// accelerators are the kinds of accelerators, one for each failure domain.
var accelerators = []chicoryhall.DocumentAccelerator{
	{Kind: "large", StepTime: 4 * time.Millisecond, LayerTokenTime: 30 * time.Microsecond, MaxBatch: defaultBatch},
	{Kind: "medium", StepTime: 6 * time.Millisecond, LayerTokenTime: 45 * time.Microsecond, MaxBatch: defaultBatch},
	{Kind: "small", StepTime: 9 * time.Millisecond, LayerTokenTime: 70 * time.Microsecond, MaxBatch: defaultBatch},
}

// Options are the options of a deployment.
type Options struct {
	// Scale is the size of the deployment, where 1 is the size of one present user's deployment.
	Scale float64
	// PortOffset is added to all ports, so that several deployments can run on one machine.
	PortOffset int
	Seed       uint64
	Duration   time.Duration
	// Load multiplies the rates of all traffic. PlainLoad additionally multiplies those of plain services.
	Load      float64
	PlainLoad float64
	// Daemons is the number of daemons in each failure domain. If it is 0, it depends on the scale.
	Daemons int
	// Routing is the policy by which daemons choose engines.
	Routing pipeline.Policy
	// Command is the command line that generated the layout, for reports.
	Command string
	// Scenario is the name of the scenario of faults in the plan.
	Scenario string
}

// Layout is a deployment with its processes and services.
type Layout struct {
	options       Options
	services      []service
	daemons       []daemon
	endpointCount int
}

// service is a service with its document and the tokens of its organisations.
type service struct {
	document chicoryhall.Document
	tokens   []string
}

// daemon is a daemon process.
type daemon struct {
	id        chicoryhall.DaemonID
	domain    chicoryhall.FailureDomain
	callers   string
	operators string
	peers     string
}

// New returns the layout for the given options.
func New(options Options) *Layout {
	l := &Layout{options: options}
	l.addDaemons()
	l.addPipeline(lanternVowDrafting())
	l.addPlain(lanternVowBooking())
	l.addPipeline(associationAssistant())
	l.addPlain(associationLibrary())
	return l
}

func (l *Layout) addressOf(port int) string {
	return fmt.Sprintf("%s:%d", host, port+l.options.PortOffset)
}

// scaled scales a count that applies to scale 1. The result is at least minimum.
func (l *Layout) scaled(fullScale, minimum int) int {
	return max(minimum, int(float64(fullScale)*l.options.Scale+0.5))
}

func (l *Layout) addDaemons() {
	perDomain := l.options.Daemons
	if perDomain == 0 {
		perDomain = l.scaled(fullScaleDaemons, minDaemons)
	}
	for _, domain := range domains {
		for i := range perDomain {
			n := len(l.daemons)
			l.daemons = append(l.daemons, daemon{
				id:        chicoryhall.DaemonID(fmt.Sprintf("%s-%d", domain, i+1)),
				domain:    domain,
				callers:   l.addressOf(portCallers + n),
				operators: l.addressOf(portOperators + n),
				peers:     l.addressOf(portPeers + n),
			})
		}
	}
}

// nextEndpoint adds an endpoint and returns its address and its control address.
func (l *Layout) nextEndpoint() (string, string) {
	l.endpointCount++
	return l.addressOf(portEndpoints + l.endpointCount), l.controlAddress(l.endpointCount)
}

func (l *Layout) controlAddress(n int) string {
	return l.addressOf(portControls + n)
}

// addPipeline adds a pipeline service with engines for each range of the model's layers in each failure domain.
func (l *Layout) addPipeline(s service) {
	perRange := l.scaled(fullScaleEngines, rangesPerModel*len(domains)) / (rangesPerModel * len(domains))
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

// addPlain adds a plain service and distributes its endpoints over the failure domains.
func (l *Layout) addPlain(s service) {
	for i := range l.scaled(fullScalePlainEndpoints, 2) {
		endpoint, _ := l.nextEndpoint()
		s.document.Endpoints = append(s.document.Endpoints, chicoryhall.DocumentEndpoint{
			ID:            chicoryhall.EndpointID(fmt.Sprintf("%s-%d", s.document.Service, i+1)),
			Address:       endpoint,
			FailureDomain: domains[i%len(domains)],
		})
	}
	l.services = append(l.services, s)
}
