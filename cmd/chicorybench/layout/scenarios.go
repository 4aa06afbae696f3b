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

// healAfter is the time after which a freeze, a slowdown or an outage of the table ends.
const healAfter = 4 * time.Second

// slowFault makes the steps of an engine four times as long.
const slowFault = `{"slow":4}`

// Scenarios lists all scenarios.
var Scenarios = []Scenario{
	{"none", "no fault", func(*Layout, string) []plan.Fault { return nil }},
	{"demo", "an engine crashes and a daemon is killed", demoFaults},
	{"crash", "engines crash, one at a time", engineFaults(1, "crashes", "/crash", "", "")},
	{"crash-together", "three engines crash at once", engineFaults(3, "crashes", "/crash", "", "")},
	{"freeze", "engines freeze and thaw, one at a time", engineFaults(1, "freezes", "/freeze", "", "/thaw")},
	{"freeze-together", "three engines freeze at once and thaw", engineFaults(3, "freezes", "/freeze", "", "/thaw")},
	{"silence", "open connections of an engine go silent", engineFaults(1, "goes silent", "/silence", "", "")},
	{"silence-together", "open connections of three engines go silent", engineFaults(3, "goes silent", "/silence", "", "")},
	{"slow", "engines slow down, one at a time", engineFaults(1, "slows down", "/faults", slowFault, "/faults")},
	{"slow-together", "three engines slow down at once", engineFaults(3, "slows down", "/faults", slowFault, "/faults")},
	{"storm", "every few seconds another fault of engines, daemons or the table", stormFaults},
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

// engineFaults returns the faults of a scenario for engines. Each injection affects as many engines as together says, at
// the same time. The engines are chosen so that each range of layers keeps working engines.
func engineFaults(together int, what, path, body, heal string) func(*Layout, string) []plan.Fault {
	return func(l *Layout, _ string) []plan.Fault {
		var faults []plan.Fault
		for injection := range injectionsPerRun {
			at := l.fractionOfRun(injection+1, injectionsPerRun+2)
			for i := range together {
				faults = append(faults, l.engineFault(injection*together+i, at, what, path, body, i == 0))
			}
			if heal == "" {
				continue
			}
			for i := range together {
				faults = append(faults, l.engineFault(injection*together+i, at+healAfter, "heals", heal, "{}", false))
			}
		}
		return sortedByTime(faults)
	}
}

// engineFault returns a fault of the n-th victim. Consecutive victims differ in service, range of layers or failure domain.
func (l *Layout) engineFault(n int, at time.Duration, what, path, body string, recovery bool) plan.Fault {
	service := &l.services[n%2*2]
	endpoints := service.document.Endpoints
	perDomain := len(endpoints) / len(domains)
	perRange := perDomain / rangesPerModel
	domain := n / 2 % len(domains)
	layers := (n/2 + n/(2*len(domains))) % rangesPerModel
	victim := endpoints[domain*perDomain+layers*perRange]
	return plan.Fault{
		At:       at.Round(time.Millisecond),
		Name:     fmt.Sprintf("engine %s %s", victim.ID, what),
		Control:  l.controlOf(victim.Address),
		Path:     path,
		Body:     body,
		Recovery: recovery,
	}
}

// fractionOfRun returns a fraction of the run's duration.
func (l *Layout) fractionOfRun(part, parts int) time.Duration {
	return l.options.Duration * time.Duration(part) / time.Duration(parts)
}

func (l *Layout) killDaemon(folder string, n int, at time.Duration) plan.Fault {
	return l.signalDaemon(folder, n, at, "is killed", "KILL")
}

// demoFaults crashes one engine after a third of the run and kills one daemon after two thirds.
func demoFaults(l *Layout, folder string) []plan.Fault {
	return []plan.Fault{
		l.engineFault(0, l.fractionOfRun(1, 3), "crashes", "/crash", "", true),
		l.killDaemon(folder, len(l.daemons)-1, l.fractionOfRun(2, 3)),
	}
}

// daemonFaults kills one daemon in each of two failure domains, one after the other.
func daemonFaults(l *Layout, folder string) []plan.Fault {
	return []plan.Fault{
		l.killDaemon(folder, 0, l.fractionOfRun(1, 3)),
		l.killDaemon(folder, len(l.daemons)-1, l.fractionOfRun(2, 3)),
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

// sortedByTime sorts faults by time.
func sortedByTime(faults []plan.Fault) []plan.Fault {
	slices.SortStableFunc(faults, func(a, b plan.Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// stormPeriod is the time between two faults of a storm.
const stormPeriod = 5 * time.Second

// pauseLength is how long a daemon is paused by SIGSTOP in a storm.
const pauseLength = 2 * time.Second

// The faults of the table in a storm.
const (
	tableLosesAnswers = `{"table":{"loseAnswers":3}}`
	tableIsDown       = `{"table":{"outage":"refuse"}}`
	tableIsWell       = `{}`
)

// stormFaults injects a fault every stormPeriod, in turn from a list of faults that end by themselves or heal. In
// addition, one engine crashes and one daemon is killed.
func stormFaults(l *Layout, folder string) []plan.Fault {
	faults := demoFaults(l, folder)
	turn := 0
	for at := stormPeriod; at+healAfter < l.options.Duration; at += stormPeriod {
		faults = append(faults, l.stormFault(turn, at, folder)...)
		turn++
	}
	return sortedByTime(faults)
}

// stormFault returns the fault of one turn, together with the one that ends it.
func (l *Layout) stormFault(turn int, at time.Duration, folder string) []plan.Fault {
	victim := 1 + turn%5
	switch turn % 6 {
	case 0:
		return []plan.Fault{
			l.engineFault(victim, at, "freezes", "/freeze", "", true),
			l.engineFault(victim, at+healAfter, "heals", "/thaw", "{}", false),
		}
	case 1:
		return []plan.Fault{l.engineFault(victim, at, "goes silent", "/silence", "", true)}
	case 2:
		return []plan.Fault{l.platformFault(at, "table loses answers", tableLosesAnswers)}
	case 3:
		return []plan.Fault{
			l.signalDaemon(folder, turn%(len(l.daemons)-1), at, "is stopped", "STOP"),
			l.signalDaemon(folder, turn%(len(l.daemons)-1), at+pauseLength, "goes on", "CONT"),
		}
	case 4:
		return []plan.Fault{
			l.engineFault(victim, at, "slows down", "/faults", slowFault, true),
			l.engineFault(victim, at+healAfter, "heals", "/faults", "{}", false),
		}
	}
	return []plan.Fault{
		l.platformFault(at, "table is down", tableIsDown),
		l.platformFault(at+healAfter, "table is back", tableIsWell),
	}
}

func (l *Layout) platformFault(at time.Duration, name, body string) plan.Fault {
	return plan.Fault{At: at, Name: name, Control: l.controlAddress(0), Path: "/faults", Body: body}
}

func (l *Layout) signalDaemon(folder string, n int, at time.Duration, what, signal string) plan.Fault {
	id := l.daemons[n].id
	return plan.Fault{
		At:       at.Round(time.Millisecond),
		Name:     fmt.Sprintf("daemon %s %s", id, what),
		PIDFile:  filepath.Join(folder, "pids", string(id)),
		Signal:   signal,
		Recovery: signal != "CONT",
	}
}
