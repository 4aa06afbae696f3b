package layout

import (
	"cmp"
	"fmt"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"chicoryhall.example/chicoryhall/cmd/chicorybench/plan"
)

// Scenario is a named sequence of faults.
type Scenario struct {
	Name    string
	Summary string
	faults  func(l *Layout, folder string) []plan.Fault
}

// faultDuration is the time after which a scenario ends a freeze, a slowdown or an outage of the platform's table.
const faultDuration = 4 * time.Second

// slowFaultBody, posted to /faults of an engine, makes its steps four times as long.
const slowFaultBody = `{"slow":4}`

// noFaultsBody, posted to /faults of a stand-in, ends all its faults. Other control paths ignore it. In plans and reports
// the request that ends the fault of an engine is an entry of its own, named "engine ID heals".
const noFaultsBody = `{}`

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{"none", "no fault", func(*Layout, string) []plan.Fault { return nil }},
	{"demo", "an engine crashes and a daemon is killed", demoFaults},
	{"crash", "engines crash, one at a time", engineFaults(1, "crashes", "/crash", "", "")},
	{"crash-together", "three engines crash at once", engineFaults(3, "crashes", "/crash", "", "")},
	{"freeze", "engines freeze and thaw, one at a time", engineFaults(1, "freezes", "/freeze", "", "/thaw")},
	{"freeze-together", "three engines freeze at once and thaw", engineFaults(3, "freezes", "/freeze", "", "/thaw")},
	{"silence", "open connections of an engine transmit nothing more, one engine at a time", engineFaults(1, "goes silent", "/silence", "", "")},
	{"silence-together", "open connections of three engines transmit nothing more", engineFaults(3, "goes silent", "/silence", "", "")},
	{"slow", "engines slow down, one at a time", engineFaults(1, "slows down", "/faults", slowFaultBody, "/faults")},
	{"slow-together", "three engines slow down at once", engineFaults(3, "slows down", "/faults", slowFaultBody, "/faults")},
	{"storm", "every few seconds another fault of engines, daemons or the platform's table", stormFaults},
	{"daemons", "two daemons are killed, one after the other", daemonFaults},
}

func findScenario(name string) *Scenario {
	for i := range Scenarios {
		if Scenarios[i].Name == name {
			return &Scenarios[i]
		}
	}
	return nil
}

// injectionsPerRun is the number of times that a scenario for engines injects its fault during one run.
const injectionsPerRun = 3

// engineFaults returns the faults of a scenario for engines. Each injection posts body to path at count engines at the
// same time. If endPath is not empty, it ends the fault after faultDuration by a request to endPath. description says
// in the name of the fault what happens to the engine.
func engineFaults(count int, description, path, body, endPath string) func(*Layout, string) []plan.Fault {
	return func(l *Layout, _ string) []plan.Fault {
		var faults []plan.Fault
		for injection := range injectionsPerRun {
			// Three injections are at 1/5, 2/5 and 3/5 of the run; the rest of the run is left for the last one to take effect.
			at := l.partOfRun(injection+1, injectionsPerRun+2)
			for i := range count {
				// The faults of one injection are simultaneous and interrupt answers at the same time, so the recovery is
				// measured for the first one only.
				faults = append(faults, l.engineFault(injection*count+i, at, description, path, body, i == 0))
			}
			if endPath == "" {
				continue
			}
			for i := range count {
				faults = append(faults, l.engineFault(injection*count+i, at+faultDuration, "heals", endPath, noFaultsBody, false))
			}
		}
		return sortedByTime(faults)
	}
}

// engineFault returns a fault of an engine. n selects the engine. Even numbers select engines of the first pipeline
// service (service 0), odd ones those of the second (service 2). Within a service, the numbers select:
//
//	n of service 0    0  2  4  6  8
//	n of service 2    1  3  5  7
//	failure domain    0  1  2  0  1
//	range of layers   0  1  2  1  2
//
// With the numbers 0 to 8, which the scenarios use, each range keeps engines without fault in at least one failure
// domain.
func (l *Layout) engineFault(n int, at time.Duration, description, path, body string, measureRecovery bool) plan.Fault {
	service := &l.services[n%2*2]
	endpoints := service.document.Endpoints
	perDomain := len(endpoints) / len(domains)
	perRange := perDomain / rangesPerModel
	domain := n / 2 % len(domains)
	layerRange := (n/2 + n/(2*len(domains))) % rangesPerModel
	engine := endpoints[domain*perDomain+layerRange*perRange] // the first engine for this range in this domain
	return plan.Fault{
		At:              at.Round(time.Millisecond),
		Name:            fmt.Sprintf("engine %s %s", engine.ID, description),
		ControlAddress:  l.endpointControlAddress(engine.Address),
		Path:            path,
		Body:            body,
		MeasureRecovery: measureRecovery,
	}
}

// partOfRun returns part/parts of the duration of the run.
func (l *Layout) partOfRun(part, parts int) time.Duration {
	return l.options.Duration * time.Duration(part) / time.Duration(parts)
}

// killDaemon returns a fault that kills the n-th daemon.
func (l *Layout) killDaemon(folder string, n int, at time.Duration) plan.Fault {
	return l.signalDaemon(folder, n, at, "is killed", "KILL")
}

// demoFaults crashes one engine after a third of the run and kills one daemon after two thirds.
func demoFaults(l *Layout, folder string) []plan.Fault {
	return []plan.Fault{
		l.engineFault(0, l.partOfRun(1, 3), "crashes", "/crash", "", true),
		l.killDaemon(folder, len(l.daemons)-1, l.partOfRun(2, 3)),
	}
}

// daemonFaults kills one daemon in each of two failure domains, one after the other.
func daemonFaults(l *Layout, folder string) []plan.Fault {
	return []plan.Fault{
		l.killDaemon(folder, 0, l.partOfRun(1, 3)),
		l.killDaemon(folder, len(l.daemons)-1, l.partOfRun(2, 3)),
	}
}

// KnownScenario reports whether a scenario of that name exists.
func KnownScenario(name string) bool {
	return findScenario(name) != nil
}

// ScenarioNames returns the names of all scenarios, separated by commas.
func ScenarioNames() string {
	names := make([]string, 0, len(Scenarios))
	for _, scenario := range Scenarios {
		names = append(names, scenario.Name)
	}
	return strings.Join(names, ", ")
}

// sortedByTime sorts the faults by time and returns them.
func sortedByTime(faults []plan.Fault) []plan.Fault {
	slices.SortStableFunc(faults, func(a, b plan.Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// stormPeriod is the time between two faults of a storm. It is greater than faultDuration, so that a freeze, a slowdown
// or an outage of the table ends before the next fault is injected.
const stormPeriod = 5 * time.Second

// daemonPauseDuration is the time between the signals STOP and CONT to a daemon in a storm.
const daemonPauseDuration = 2 * time.Second

// The faults of the platform's table in a storm, to be posted to /faults of the platform: its next three writes take
// effect without being answered, or it refuses all requests.
const (
	tableLosesAnswers    = `{"table":{"loseAnswers":3}}`
	tableRefusesRequests = `{"table":{"outage":"refuse"}}`
)

// stormFaults injects a fault every stormPeriod. The kinds of faults take turns; each fault ends by itself or is ended
// after a few seconds. In addition, the faults of demoFaults are injected, which are permanent.
func stormFaults(l *Layout, folder string) []plan.Fault {
	faults := demoFaults(l, folder)
	turn := 0
	for at := stormPeriod; at+faultDuration < l.options.Duration; at += stormPeriod {
		faults = append(faults, l.stormFault(turn, at, folder)...)
		turn++
	}
	return sortedByTime(faults)
}

// stormFault returns the fault of one turn, and the request or signal that ends it.
func (l *Layout) stormFault(turn int, at time.Duration, folder string) []plan.Fault {
	engine := 1 + turn%5 // the number n of engineFault, from 1 to 5; demoFaults crashes number 0 and so it is left out
	switch turn % 6 {
	case 0:
		return []plan.Fault{
			l.engineFault(engine, at, "freezes", "/freeze", "", true),
			l.engineFault(engine, at+faultDuration, "heals", "/thaw", noFaultsBody, false),
		}
	case 1:
		return []plan.Fault{l.engineFault(engine, at, "goes silent", "/silence", "", true)}
	case 2:
		return []plan.Fault{l.platformFault(at, "table loses answers", tableLosesAnswers)}
	case 3:
		// The last daemon is left out, as it is killed in demoFaults.
		return []plan.Fault{
			l.signalDaemon(folder, turn%(len(l.daemons)-1), at, "is stopped", "STOP"),
			l.signalDaemon(folder, turn%(len(l.daemons)-1), at+daemonPauseDuration, "goes on", "CONT"),
		}
	case 4:
		return []plan.Fault{
			l.engineFault(engine, at, "slows down", "/faults", slowFaultBody, true),
			l.engineFault(engine, at+faultDuration, "heals", "/faults", noFaultsBody, false),
		}
	}
	return []plan.Fault{
		l.platformFault(at, "table is down", tableRefusesRequests),
		l.platformFault(at+faultDuration, "table is back", noFaultsBody),
	}
}

// platformFault returns a fault of the platform.
func (l *Layout) platformFault(at time.Duration, name, body string) plan.Fault {
	return plan.Fault{At: at, Name: name, ControlAddress: l.controlAddress(0), Path: "/faults", Body: body}
}

// signalDaemon returns a fault that sends a signal to the n-th daemon. scripts/deployment writes the daemons' PID files
// to the folder. CONT only ends a fault, so it has no recovery to measure.
func (l *Layout) signalDaemon(folder string, n int, at time.Duration, description, signal string) plan.Fault {
	id := l.daemons[n].id
	return plan.Fault{
		At:              at.Round(time.Millisecond),
		Name:            fmt.Sprintf("daemon %s %s", id, description),
		PIDFile:         filepath.Join(folder, "pids", string(id)),
		Signal:          signal,
		MeasureRecovery: signal != "CONT",
	}
}
