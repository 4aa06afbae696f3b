// Command review-stand-2 holds the stand-ins of the second review: a store, engines and consumers that follow the users' pages. It starts
// the daemons of the deploy file as separate processes and plays one case.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// errBroken reports that the rule of the case was broken.
var errBroken = errors.New("the rule is broken")

// cases are the cases by their names. Each plays with the disruption or without it.
var cases = map[string]func(r *record, trouble bool) error{
	"feed":   playFeed,
	"alerts": playAlerts,
	"dark":   playDark,
}

// mostTime bounds a case.
const mostTime = 110 * time.Second

// errStopped reports that a case was stopped from outside, or took too long.
var errStopped = errors.New("stopped")

// The exit statuses.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE RECORD")
		return exitNotRun
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer r.close()
	err = play(cases[os.Args[1]], r)
	switch {
	case errors.Is(err, errBroken):
		r.printf("BROKEN: %v", err)
		fmt.Println("BROKEN:", err)
		return exitBroken
	case err != nil:
		r.printf("not run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	}
	r.printf("the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// play plays a case until it ends, a signal comes or it takes too long. What it has started is ended in each case.
func play(one func(*record, bool) error, r *record) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	ended := make(chan error, 1)
	go func() { ended <- one(r, os.Getenv("TROUBLE") != "0") }()
	select {
	case err := <-ended:
		return err
	case <-signals:
	case <-time.After(mostTime):
	}
	stopAll()
	return errStopped
}
