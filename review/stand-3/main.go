// Program stage plays one case of the review: it starts the project's daemons against stand-ins of the platform and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
)

// The exit codes of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// cases maps the names of cases to what plays them; they return whether the rule was broken.
var cases = map[string]func(*platform) (bool, error){
	"scans":  playScans,
	"poison": playPoison,
	"storm":  playStorm,
	"large":  playLarge,
	"events": playEvents,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stage CASE ROOT RECORD")
		return exitCouldNot
	}
	play, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "no such case:", os.Args[1])
		return exitCouldNot
	}
	rec, err := newRecord(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	p, err := newPlatform(os.Args[2], folder, rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	stop := sync.OnceFunc(p.stop)
	defer stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-signals
		stop()
		os.Exit(exitCouldNot)
	}()
	broken, err := play(p)
	switch {
	case err != nil:
		rec.add("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	case broken:
		rec.add("the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		rec.add("the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
