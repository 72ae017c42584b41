// Command case runs the cases of the independent review: gates as separate processes,
// with stand-ins of the store, workers and callers, on loopback and the real clock.
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"sort"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxRunTime ends a case that hangs.
	maxRunTime = 117 * time.Second
)

// caseFunc plays a case and reports whether the rule was broken. Without trouble it
// plays the same without the disruption.
type caseFunc func(l *lab, trouble bool) (broken bool, err error)

var cases = map[string]caseFunc{}

func main() {
	dir := flag.String("dir", ".", "folder of the case, for record.txt")
	flag.Parse()
	play, known := cases[flag.Arg(0)]
	if !known {
		names := []string{}
		for name := range cases {
			names = append(names, name)
		}
		sort.Strings(names)
		fmt.Fprintln(os.Stderr, "usage: case -dir DIR", names)
		os.Exit(exitNotRun)
	}
	os.Exit(playCase(play, *dir, os.Getenv("TROUBLE") != "0"))
}

func playCase(play caseFunc, dir string, trouble bool) int {
	l, err := newLab(dir)
	if err != nil {
		fmt.Fprintln(os.Stderr, "case could not run:", err)
		return exitNotRun
	}
	defer l.close()
	watchdog := time.AfterFunc(maxRunTime, func() {
		l.record("the case did not end in time")
		l.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	go func() {
		<-signals
		l.record("the case was stopped")
		l.close()
		os.Exit(exitNotRun)
	}()
	l.record("trouble: %v", trouble)
	broken, err := play(l, trouble)
	switch {
	case err != nil:
		l.record("case could not run: %v", err)
		fmt.Println("case could not run:", err)
		return exitNotRun
	case broken:
		l.record("result: the rule was broken")
		fmt.Println("the rule was broken")
		return exitBroken
	default:
		l.record("result: the rule held")
		fmt.Println("the rule held")
		return exitHeld
	}
}
