package main

import (
	"bufio"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// memoryMb is the memory of a machine on the sheets. The platform kills a process that exceeds it.
	memoryMb = 284
	// restartAfter is how long killed processes are down.
	restartAfter = 3500 * time.Millisecond
)

// residentMb returns the memory of a process in units of 2^20 bytes, the larger reading of the limit.
func residentMb(pid int) int {
	file, err := os.Open(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	defer file.Close()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		if fields := strings.Fields(lines.Text()); len(fields) > 1 && fields[0] == "VmRSS:" {
			kilobytes, _ := strconv.Atoi(fields[1])
			return kilobytes / 1024
		}
	}
	return 0
}

// machine is a daemon as the platform sees it.
type machine struct {
	*daemon
	mu sync.Mutex
	// peak is the most memory that its processes had.
	peak int
	// killedAt is when the test killed its process, memoryEnds how often the platform did so for its memory.
	killedAt   time.Time
	memoryEnds int
	// lost counts the requests that it lost while it was not disturbed.
	lost int
}

// watch kills the process when it exceeds its memory, and starts it again a second later.
func (m *machine) watch(s *setup, until time.Time) {
	for reported := 0; time.Now().Before(until); time.Sleep(5 * time.Millisecond) {
		if m.hasEnded() {
			continue
		}
		used := residentMb(m.pid())
		m.mu.Lock()
		m.peak = max(m.peak, used)
		m.mu.Unlock()
		if used >= reported+20 {
			reported = used
			s.record.add("%s has %d MB", m.node, used)
		}
		if used <= memoryMb {
			continue
		}
		s.record.add("%s has %d MB, more than %d: the platform kills it", m.node, used, memoryMb)
		m.mu.Lock()
		m.memoryEnds++
		m.mu.Unlock()
		m.kill()
		time.Sleep(time.Second)
		m.run()
		reported = 0
	}
}

// knockOut kills the process and starts it again later.
func (m *machine) knockOut(s *setup) {
	s.record.add("%s is killed", m.node)
	m.mu.Lock()
	m.killedAt = time.Now()
	m.mu.Unlock()
	m.kill()
	time.Sleep(restartAfter)
	m.run()
	s.record.add("%s is started again", m.node)
}

// note counts a request that a machine has passed on and lost, unless the test had killed its process.
func (m *machine) note(s *setup, got reply) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.killedAt.IsZero() {
		m.lost++
		s.record.add("LOST: %s, passed on by %s", got.id, m.node)
	}
}

// memory checks LOST beside the loss of machines: the one that is left takes over their consumers and must go on.
func memory(s *setup) (verdict, error) {
	const budget, bodyBytes, killedMachines = 20 * time.Second, 1_000_000, 2
	length, period := 60*time.Second, 2500*time.Millisecond
	d, err := s.deploy(plan{
		routes:  []route{{prefix: "/file/", kind: "unsafe", timeout: budget, aim: 2 * time.Second}},
		engines: 3, daemons: 3, slots: 12, work: time.Second,
	})
	if err != nil {
		return verdict{}, err
	}
	defer d.end()
	until := time.Now().Add(length)
	var working sync.WaitGroup
	var machines []*machine
	for _, one := range d.daemons {
		m := &machine{daemon: one}
		machines = append(machines, m)
		working.Go(func() { m.watch(s, until) })
	}
	if s.trouble {
		working.Go(func() {
			time.Sleep(22 * time.Second)
			for _, m := range machines[:killedMachines] {
				working.Go(func() { m.knockOut(s) })
			}
		})
	}
	var mu sync.Mutex
	complete, others := 0, 0
	body := make([]byte, bodyBytes)
	for i := range number("CONSUMERS", 24) {
		c := &consumer{name: fmt.Sprintf("c%02d", i), record: s.record}
		working.Go(func() {
			defer c.close()
			time.Sleep(period * time.Duration(i) / 24)
			at := i % len(machines)
			for next := time.Now(); time.Now().Before(until); time.Sleep(time.Until(next)) {
				next = next.Add(period)
				for tries := 0; c.channel == nil && tries < len(machines) && !machines[at].isReady(); tries++ {
					at = (at + 1) % len(machines)
				}
				c.address = machines[at].front
				got := c.send(request{method: http.MethodPost, path: "/file/1", budget: budget, key: apiKey, body: body})
				mu.Lock()
				switch {
				case got.isComplete() && got.status == http.StatusOK:
					complete++
				case got.err != nil && got.kept && d.wasPassedOn(got.id):
					machines[at].note(s, got)
				default:
					others++
				}
				mu.Unlock()
			}
		})
	}
	working.Wait()
	result := verdict{}
	for _, m := range machines {
		result.broken = result.broken || m.lost > 3
		result.lines = append(result.lines, fmt.Sprintf(
			"%s: at most %d MB of %d, killed by the test %t, killed for its memory %d times; requests from kept channels that it passed on and lost undisturbed: %d (at most 3)",
			m.node, m.peak, memoryMb, !m.killedAt.IsZero(), m.memoryEnds, m.lost))
	}
	result.lines = append(result.lines, fmt.Sprintf("complete answers: %d, others: %d", complete, others))
	return result, nil
}
