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
			e.ID, e.ID, e.Address, e.FailureDomain, l.addressOf(platformPort), l.endpointControlAddress(e.Address)))
	}
	return lines
}

// engineProcess returns the line of the process list for an engine.
func (l *Layout) engineProcess(s *service, e chicoryhall.DocumentEndpoint) string {
	accelerator := acceleratorOf(s, e.Accelerator)
	return fmt.Sprintf("%s chicorystand engine -id %s -listen %s -failure-domain %s -accelerator %s"+
		" -step-time %v -layer-time %v -batch %d -kv-capacity %d -kv-bytes %d -report-lag %v"+
		" -holdings %s@%s:%d-%d -fencing=%t -weights %s -vm-list %s -control %s",
		e.ID, e.ID, e.Address, e.FailureDomain, e.Accelerator,
		accelerator.StepTime, accelerator.LayerTokenTime, accelerator.MaxBatch, kvCapacity, s.document.Model.KVBytes, reportLag,
		s.document.Model.Name, s.document.Model.Version, e.From, e.To, e.Fencing,
		l.addressOf(platformPort), l.addressOf(platformPort), l.endpointControlAddress(e.Address))
}

// acceleratorOf returns the accelerator of a kind from the service's document.
func acceleratorOf(s *service, kind chicoryhall.AcceleratorKind) chicoryhall.DocumentAccelerator {
	for _, known := range s.document.Accelerators {
		if known.Kind == kind {
			return known
		}
	}
	return chicoryhall.DocumentAccelerator{}
}

// endpointControlAddress returns the control address of the endpoint with the given address, or "" if there is none.
func (l *Layout) endpointControlAddress(address string) string {
	for n := 1; n <= l.endpointCount; n++ {
		if l.addressOf(firstEndpointPort+n) == address {
			return l.controlAddress(n)
		}
	}
	return ""
}

// endpointControlAddresses returns the control addresses of all endpoints, at which their ledgers can be read.
func (l *Layout) endpointControlAddresses() []string {
	all := make([]string, 0, l.endpointCount)
	for n := 1; n <= l.endpointCount; n++ {
		all = append(all, l.controlAddress(n))
	}
	return all
}
