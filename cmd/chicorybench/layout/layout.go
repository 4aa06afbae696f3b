package layout

import (
	"fmt"
	"time"

	"chicoryhall.example/chicoryhall"
	"chicoryhall.example/chicoryhall/pipeline"
)

// The host and ports of the deployment, before the offset of Options is added to the ports. Where there are several
// processes of a kind, they have consecutive ports.
const (
	host         = "127.0.0.1"
	balancerPort = 7000
	platformPort = 7001
	// The control ports are firstControlPort for the platform and firstControlPort + n for the endpoint with number n.
	// Endpoint n serves requests on the port firstEndpointPort + n. The numbers start at 1, so that no endpoint has
	// firstEndpointPort itself.
	firstControlPort  = 7100
	firstCallerPort   = 7300
	firstOperatorPort = 7400
	firstPeerPort     = 7500
	firstEndpointPort = 7600
)

// The numbers of processes at scale 1, and minimum numbers at smaller scales.
const (
	fullScaleEngines          = 30 // for each pipeline service; rounded down to 27, as its 9 groups are equally large
	fullScalePlainEndpoints   = 3  // for each plain service
	minPlainEndpoints         = 2
	fullScaleDaemonsPerDomain = 3
	minDaemonsPerDomain       = 2
)

// The settings of the daemons and stand-ins, and the contents of the documents.
const (
	region                  = chicoryhall.Region("tw-north")
	kvCapacity              = 400_000                // tokens for which an engine can hold the KV cache
	kvBytesPerToken         = 512                    // for each layer
	reportLag               = 200 * time.Millisecond // age of the load report that an engine serves
	vmListLag               = 3 * time.Second        // delay of changes in the platform's list of VMs
	drainTimeout            = 20 * time.Second
	layersPerModel          = 24
	rangesPerModel          = 3
	maxBatch                = 8 // of every accelerator
	organisationsPerService = 3
)

// domains are the failure domains of the deployment.
var domains = []chicoryhall.FailureDomain{"xinyi", "neihu", "banqiao"}

// accelerators are the kinds of accelerators, one for each failure domain.
var accelerators = []chicoryhall.DocumentAccelerator{
	{Kind: "large", StepTime: 4 * time.Millisecond, LayerTokenTime: 30 * time.Microsecond, MaxBatch: maxBatch},
	{Kind: "medium", StepTime: 6 * time.Millisecond, LayerTokenTime: 45 * time.Microsecond, MaxBatch: maxBatch},
	{Kind: "small", StepTime: 9 * time.Millisecond, LayerTokenTime: 70 * time.Microsecond, MaxBatch: maxBatch},
}

// Options are the options of a deployment.
type Options struct {
	// Scale multiplies the numbers of daemons and endpoints and the rates of requests. Scale 1 has three daemons in each
	// failure domain and 27 engines in each pipeline service: 30, rounded down to a multiple of 9.
	Scale float64
	// PortOffset is added to all ports, so that several deployments can run on one machine.
	PortOffset int
	// Seed and Duration are those of the plan.
	Seed     uint64
	Duration time.Duration
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

// daemon is a daemon process, with the addresses at which it serves callers, operators and peers.
type daemon struct {
	id              chicoryhall.DaemonID
	domain          chicoryhall.FailureDomain
	callerAddress   string
	operatorAddress string
	peerAddress     string
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

// scaled multiplies a count for scale 1 by the scale. The result is at least minimum.
func (l *Layout) scaled(fullScale, minimum int) int {
	return max(minimum, int(float64(fullScale)*l.options.Scale+0.5))
}

func (l *Layout) addDaemons() {
	perDomain := l.options.Daemons
	if perDomain == 0 {
		perDomain = l.scaled(fullScaleDaemonsPerDomain, minDaemonsPerDomain)
	}
	for _, domain := range domains {
		for i := range perDomain {
			n := len(l.daemons)
			l.daemons = append(l.daemons, daemon{
				id:              chicoryhall.DaemonID(fmt.Sprintf("%s-%d", domain, i+1)),
				domain:          domain,
				callerAddress:   l.addressOf(firstCallerPort + n),
				operatorAddress: l.addressOf(firstOperatorPort + n),
				peerAddress:     l.addressOf(firstPeerPort + n),
			})
		}
	}
}

// nextEndpointAddress takes the next number for an endpoint and returns its address and its control address. The control
// address is not stored in the document; endpointControlAddress finds it again by the address.
func (l *Layout) nextEndpointAddress() (string, string) {
	l.endpointCount++
	return l.addressOf(firstEndpointPort + l.endpointCount), l.controlAddress(l.endpointCount)
}

// controlAddress returns the control address of the endpoint with number n, or of the platform if n is 0.
func (l *Layout) controlAddress(n int) string {
	return l.addressOf(firstControlPort + n)
}

// addPipeline adds a pipeline service. Its engines form one group for each failure domain and range of the model's
// layers; all groups are equally large and have at least one engine.
func (l *Layout) addPipeline(s service) {
	perGroup := l.scaled(fullScaleEngines, rangesPerModel*len(domains)) / (rangesPerModel * len(domains))
	width := s.document.Model.Layers / rangesPerModel
	for d, domain := range domains {
		for r := range rangesPerModel {
			for i := range perGroup {
				address, _ := l.nextEndpointAddress()
				s.document.Endpoints = append(s.document.Endpoints, chicoryhall.DocumentEndpoint{
					ID:            chicoryhall.EndpointID(fmt.Sprintf("%s-%s-%d-%d", s.document.Model.Name, domain, r, i+1)),
					Address:       address,
					FailureDomain: domain,
					Accelerator:   accelerators[d].Kind,
					From:          r * width,
					To:            (r + 1) * width,
					Fencing:       i%2 == 0, // so that engines with and without fencing run
				})
			}
		}
	}
	s.document.Accelerators = accelerators
	l.services = append(l.services, s)
}

// addPlain adds a plain service and distributes its endpoints over the failure domains.
func (l *Layout) addPlain(s service) {
	for i := range l.scaled(fullScalePlainEndpoints, minPlainEndpoints) {
		address, _ := l.nextEndpointAddress()
		s.document.Endpoints = append(s.document.Endpoints, chicoryhall.DocumentEndpoint{
			ID:            chicoryhall.EndpointID(fmt.Sprintf("%s-%d", s.document.Service, i+1)),
			Address:       address,
			FailureDomain: domains[i%len(domains)],
		})
	}
	l.services = append(l.services, s)
}
