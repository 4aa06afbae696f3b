package layout

import (
	"fmt"

	"chicoryhall.example/chicoryhall"
)

// endpointProcesses returns the lines of the process list for a service's endpoints.
func (l *Layout) endpointProcesses(s *service) []string {
	lines := make([]string, 0, len(s.document.Endpoints))
	for _, e := range s.document.Endpoints {
		if s.document.Kind == chicoryhall.ServicePipeline {
			lines = append(lines, l.engineProcess(s, e))
			continue
		}
		lines = append(lines, fmt.Sprintf("%s chicorystand plain -id %s -listen %s -failure-domain %s -vm-list %s -control %s",
			e.ID, e.ID, e.Address, e.FailureDomain, l.addressOf(portPlatform), l.controlOf(e.Address)))
	}
	return lines
}

func (l *Layout) engineProcess(s *service, e chicoryhall.DocumentEndpoint) string {
	kind := acceleratorOf(s, e.Accelerator)
	return fmt.Sprintf("%s chicorystand engine -id %s -listen %s -failure-domain %s -accelerator %s"+
		" -step-time %v -layer-time %v -batch %d -kv-capacity %d -kv-bytes %d -report-lag %v"+
		" -holdings %s@%s:%d-%d -fencing=%t -weights %s -vm-list %s -control %s",
		e.ID, e.ID, e.Address, e.FailureDomain, e.Accelerator,
		kind.StepTime, kind.LayerTokenTime, kind.MaxBatch, kvCapacity, s.document.Model.KVBytes, reportLag,
		s.document.Model.Name, s.document.Model.Version, e.From, e.To, e.Fencing,
		l.addressOf(portPlatform), l.addressOf(portPlatform), l.controlOf(e.Address))
}

func acceleratorOf(s *service, kind chicoryhall.AcceleratorKind) chicoryhall.DocumentAccelerator {
	for _, known := range s.document.Accelerators {
		if known.Kind == kind {
			return known
		}
	}
	return chicoryhall.DocumentAccelerator{}
}

// controlOf returns the control address of the endpoint with the given address.
func (l *Layout) controlOf(endpoint string) string {
	for n := 1; n <= l.endpointCount; n++ {
		if l.addressOf(portEndpoints+n) == endpoint {
			return l.controlAddress(n)
		}
	}
	return ""
}

// controls returns the control addresses of all endpoints.
func (l *Layout) controls() []string {
	all := make([]string, 0, l.endpointCount)
	for n := 1; n <= l.endpointCount; n++ {
		all = append(all, l.controlAddress(n))
	}
	return all
}
