package main

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// The times of the case "alerts", from the start of the traffic. The store answers two of eight daemons nothing from alertsDownAt to
// alertsBackAt. Meanwhile, the request that crashes engines comes at daemon 0, which loses two engines. It comes there again once they are
// back, and at the two daemons after that.
const (
	alertsDownAt  = 200 * time.Millisecond
	alertsFirstAt = 500 * time.Millisecond
	alertsBackAt  = 4700 * time.Millisecond
	alertsThirdAt = 6 * time.Second
	alertsOthers  = 10500 * time.Millisecond
	alertsGap     = 1200 * time.Millisecond
	alertsEndAt   = 16 * time.Second
	// maxCrashRetries is how often a request that has crashed three engines may reach engines later than stableWindow after that.
	maxCrashRetries = 3
)

// poisonBody is the same in all requests that crash engines.
const poisonBody = "the one that crashes"

// playAlerts has the store turn two daemons away without a response while it serves the others.
func playAlerts(r *record, trouble bool) error {
	d, err := newDeployment(r, 7)
	if err != nil {
		return err
	}
	defer d.stop()
	if err := d.start(); err != nil {
		return err
	}
	traffic := time.Now()
	stop := make(chan struct{})
	var consumers sync.WaitGroup
	for _, m := range d.machines {
		consumers.Go(func() { trickle(newConsumer(m, r), stop) })
	}
	defer consumers.Wait()
	defer close(stop)
	others := []int{3, 5}
	time.Sleep(time.Until(traffic.Add(alertsDownAt)))
	if trouble {
		silence(d, others)
	}
	poison := func(daemon int) sent {
		return newConsumer(d.machines[daemon], r).send("POST", poisonPath+"2f", poisonBody, time.Second)
	}
	time.Sleep(time.Until(traffic.Add(alertsFirstAt)))
	poison(0)
	time.Sleep(time.Until(traffic.Add(alertsBackAt)))
	d.store.disrupt(nil, nil, nil)
	r.printf("the store serves all daemons")
	time.Sleep(time.Until(traffic.Add(alertsThirdAt)))
	for tries := 0; len(crashes(r)) < 3 && tries < 3; tries++ {
		poison(0)
		time.Sleep(200 * time.Millisecond)
	}
	before := crashes(r)
	if len(before) < 3 {
		return fmt.Errorf("the request has crashed %d engines instead of three", len(before))
	}
	third := before[2].at
	r.printf("the request has crashed the third engine at %.3f", r.since(third))
	for i, daemon := range others {
		time.Sleep(time.Until(traffic.Add(alertsOthers + time.Duration(i)*alertsGap)))
		poison(daemon)
	}
	time.Sleep(time.Until(traffic.Add(alertsEndAt)))
	return checkCrashRetries(r, third)
}

// checkCrashRetries returns errBroken if the request has reached engines too often later than stableWindow after its third crash.
func checkCrashRetries(r *record, third time.Time) error {
	late := 0
	for _, one := range crashes(r) {
		if one.at.After(third.Add(stableWindow)) {
			late++
			r.printf("BUDGET: the request reached engine %s again at %.3f, %.3f s after the third crash", one.engine, r.since(one.at), one.at.Sub(third).Seconds())
		}
	}
	if late > maxCrashRetries {
		return fmt.Errorf("%w: BUDGET: a request that had crashed three engines reached engines %d times more, later than %s after that; %d are allowed",
			errBroken, late, stableWindow, maxCrashRetries)
	}
	return nil
}

// silence makes the store give some daemons no response: neither to calls that they make from now on, nor to those that wait for changes
// and would be answered meanwhile.
func silence(d *deployment, daemons []int) {
	concerned := func(c call) bool { return slices.Contains(daemons, c.daemon) }
	d.store.disrupt(concerned, nil, concerned)
	d.record.printf("the store gives daemons %v no response", daemons)
}

// crashes returns the arrivals of the request that crashes engines.
func crashes(r *record) []arrival {
	var found []arrival
	for _, one := range r.copyArrivals() {
		if strings.HasPrefix(one.path, poisonPath) {
			found = append(found, one)
		}
	}
	return found
}
