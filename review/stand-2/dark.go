package main

import (
	"fmt"
	"sync"
	"time"
)

// The times of the case "dark", from the start of the traffic. The request that crashes engines comes at daemons 0 and 1 first, where each of its
// two runs crashes an engine. It comes at three other daemons from darkLateBy after the third crash on.
const (
	darkFirstAt  = 500 * time.Millisecond
	darkSecondAt = 600 * time.Millisecond
	darkLateBy   = stableWindow + 50*time.Millisecond
	darkGap      = 100 * time.Millisecond
	darkEndAt    = 12 * time.Second
	darkEngines  = 14
)

// playDark lets the VMs of the engines that the request crashes go dark, so that their addresses are silent instead of refusing.
func playDark(r *record, trouble bool) error {
	d, err := newDeployment(r, darkEngines)
	if err != nil {
		return err
	}
	defer d.stop()
	for _, e := range d.engines {
		e.goesDark = trouble
	}
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
	poison := func(daemon int) {
		newConsumer(d.machines[daemon], r).send("POST", poisonPath+"2f", poisonBody, time.Second)
	}
	time.Sleep(time.Until(traffic.Add(darkFirstAt)))
	poison(0)
	time.Sleep(time.Until(traffic.Add(darkSecondAt)))
	poison(1)
	before := crashes(r)
	if len(before) < 3 {
		return fmt.Errorf("the request has crashed %d engines instead of three", len(before))
	}
	third := before[2].at
	r.printf("the request has crashed the third engine at %.3f", r.since(third))
	time.Sleep(time.Until(third.Add(darkLateBy)))
	var late sync.WaitGroup
	for i, daemon := range []int{2, 3, 5} {
		time.Sleep(time.Until(third.Add(darkLateBy + time.Duration(i)*darkGap)))
		late.Go(func() { poison(daemon) })
	}
	late.Wait()
	time.Sleep(time.Until(traffic.Add(darkEndAt)))
	return checkCrashRetries(r, third)
}
