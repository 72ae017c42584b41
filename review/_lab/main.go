// Command lab runs one case of the review: it starts gates as separate processes and the
// stand-ins of the platform, of workers and of clients in this process, all on loopback.
//
// Usage: lab CASE RECORD, with the path of the gate program in GATE and TROUBLE=0 for the run
// without the disruption. It exits with 1 if the rule was broken, 0 if it held, and 2 if the
// case could not run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
	// maxRunTime ends a run that hangs.
	maxRunTime = 115 * time.Second
)

// verdict is the outcome of a case that ran.
type verdict struct {
	broken  bool
	summary string
}

var cases = map[string]func(*lab) (verdict, error){
	"memory":      runMemory,
	"relay-drain": runRelayDrain,
	"deadly-part": runDeadlyPart,
	"crash-stall": runCrashStall,
	"options":     runOptions,
	"herd-count":  runHerdCount,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab CASE RECORD")
		os.Exit(exitNotRun)
	}
	l, err := newLab(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	timeout := time.AfterFunc(maxRunTime, func() {
		l.note("the run took too long")
		l.close()
		os.Exit(exitNotRun)
	})
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGHUP)
	go func() {
		<-signals
		l.close()
		os.Exit(exitNotRun)
	}()
	result, err := cases[os.Args[1]](l)
	timeout.Stop()
	code := exitHeld
	switch {
	case err != nil:
		l.note("not run: %v", err)
		code = exitNotRun
	case result.broken:
		l.note("BROKEN: %s", result.summary)
		code = exitBroken
	default:
		l.note("held: %s", result.summary)
	}
	l.close()
	os.Exit(code)
}
