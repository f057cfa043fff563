// Command lab plays one scenario of the review against processes of the program under test. Its exit status is 0 if the rule held, 1 if
// it was broken, and 2 if the scenario could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"slices"
	"syscall"
)

// scenarios are the scenarios by name.
var scenarios = map[string]func(*lab) (broken bool, err error){}

func main() {
	if len(os.Args) != 5 {
		fmt.Fprintln(os.Stderr, "usage: lab SCENARIO BINARY WIRE RECORD")
		os.Exit(2)
	}
	play, ok := scenarios[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "unknown scenario", os.Args[1])
		os.Exit(2)
	}
	l, err := newLab(os.Args[2], os.Args[3], os.Args[4], !slices.Contains(os.Environ(), "TROUBLE=0"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		l.close()
		os.Exit(2)
	}()
	broken, err := play(l)
	l.close()
	switch {
	case err != nil:
		l.record("could not run: %v", err)
		os.Exit(2)
	case broken:
		l.record("the rule was broken")
		os.Exit(1)
	}
	l.record("the rule held")
}
