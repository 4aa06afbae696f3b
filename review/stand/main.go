// Command stand plays the cases of the review: it starts stand-ins of the platform's store, of engines and of consumers, and
// daemons of the project as separate processes. It exits with 1 if the rule of the case was broken, 0 if it held, and 2 if the case
// could not run.
package main

import (
	"fmt"
	"os"
)

// setup is what a case gets.
type setup struct {
	// root is the project's folder, folder a temporary one.
	root, folder string
	// trouble says whether the disruption of the case takes place.
	trouble bool
	record  *record
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	lines  []string
}

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: stand CASE ROOT FOLDER RECORD")
		os.Exit(exitNotRun)
	}
	cases := map[string]func(*setup) (verdict, error){"refused": refused, "misrouted": misrouted, "unread": unread, "memory": memory, "slow": slow}
	run, known := cases[os.Args[1]]
	if !known {
		fmt.Fprintln(os.Stderr, "stand: no such case")
		os.Exit(exitNotRun)
	}
	s := &setup{root: os.Args[2], folder: os.Args[3], trouble: os.Getenv("TROUBLE") != "0", record: &record{}}
	os.Exit(s.play(run, os.Args[4]))
}

// play runs a case, writes its record and returns the exit code.
func (s *setup) play(run func(*setup) (verdict, error), recordPath string) (code int) {
	defer func() {
		if failure := recover(); failure != nil {
			fmt.Fprintln(os.Stderr, "stand: the case could not run:", failure)
			code = exitNotRun
		}
	}()
	result, err := run(s)
	if err != nil {
		result.lines = append(result.lines, "the case could not run: "+err.Error())
	}
	code = exitHeld
	switch {
	case err != nil:
		code = exitNotRun
	case result.broken:
		code = exitBroken
	}
	for _, line := range result.lines {
		fmt.Println(line)
	}
	if err := s.record.write(recordPath, result.lines); err != nil {
		fmt.Fprintln(os.Stderr, "stand:", err)
		return exitNotRun
	}
	return code
}
