package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The times of the case "feed", from the start of the traffic.
const (
	feedFirstAt  = 500 * time.Millisecond
	feedJoinAt   = 2 * time.Second
	feedDrainAt  = 6500 * time.Millisecond
	feedGap      = time.Second
	feedStopAt   = 14 * time.Second
	feedEndAt    = 15500 * time.Millisecond
	drainBound   = 2 * time.Second
	stableWindow = 3 * time.Second
)

// playFeed adds two engines, and loses the answer that tells a part of the daemons of the second one. More than stableWindowMs later, another engine leaves.
func playFeed(r *record, trouble bool) error {
	d, err := newDeployment(r, 5)
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
	var stopOnce sync.Once
	defer stopOnce.Do(func() { close(stop) })

	time.Sleep(time.Until(traffic.Add(feedFirstAt)))
	if err := d.join("e5", "pikine"); err != nil {
		return err
	}
	time.Sleep(time.Until(traffic.Add(feedJoinAt)))
	var mu sync.Mutex
	lost := make(map[int]bool)
	var lostAt time.Time
	if trouble {
		d.store.disrupt(func(c call) bool {
			if c.path != path("feed") || c.table != "servers" || len(c.rows) == 0 {
				return false
			}
			mu.Lock()
			defer mu.Unlock()
			if lost[c.daemon] {
				return false
			}
			lost[c.daemon], lostAt = true, time.Now()
			r.printf("the answer of the store to the feed of servers for daemon %d is lost", c.daemon)
			return true
		}, nil, nil)
	}
	if err := d.join("e6", "rufisque"); err != nil {
		return err
	}

	time.Sleep(time.Until(traffic.Add(feedDrainAt)))
	d.store.disrupt(nil, nil, nil)
	mu.Lock()
	if trouble && time.Since(lostAt) < stableWindow+time.Second {
		mu.Unlock()
		return fmt.Errorf("an answer was lost too late")
	}
	mu.Unlock()
	acked := make(map[string]time.Time)
	replaced := d.engines[1:3]
	for i, leaving := range replaced {
		time.Sleep(time.Until(traffic.Add(feedDrainAt + time.Duration(i)*feedGap)))
		acked[leaving.id] = leaving.drain()
		r.printf("the store has acknowledged that engine %s is draining", leaving.id)
	}
	for i, leaving := range replaced {
		time.Sleep(time.Until(traffic.Add(feedStopAt + time.Duration(i)*feedGap)))
		leaving.stop()
		r.printf("engine %s has left", leaving.id)
	}
	time.Sleep(time.Until(traffic.Add(feedEndAt)))
	stopOnce.Do(func() { close(stop) })
	consumers.Wait()

	late := 0
	for _, one := range r.copyArrivals() {
		if ack, leaves := acked[one.engine]; leaves && one.at.After(ack.Add(drainBound)) {
			late++
			r.printf("DRAIN: request %s reached engine %s at %.3f, %.3f s after the acknowledgement", one.request, one.engine, r.since(one.at),
				one.at.Sub(ack).Seconds())
		}
	}
	if late > 0 {
		return fmt.Errorf("%w: DRAIN: %d requests reached leaving engines later than %s after the acknowledgement", errBroken, late, drainBound)
	}
	return nil
}

// trickle sends a request each four to seven seconds: three in ten are safe.
func trickle(c *consumer, stop <-chan struct{}) {
	for {
		pause := time.Duration((4 + 3*rand.Float64()) * float64(time.Second))
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
		if rand.IntN(10) < 3 {
			c.send("GET", safePath+"fi50/2f", "", time.Second)
		} else {
			c.send("POST", unsafePath+"2f", "hold", time.Second)
		}
	}
}
