package trial

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"testing"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds the time of a case.
const caseLimit = 110 * time.Second

// verdict is the result of a case: what the rule counts, and whether that breaks it.
type verdict struct {
	broken bool
	text   string
}

// cases maps the names of the cases to what runs them; trouble is false for the run without the disruption.
var cases = map[string]func(w *world, trouble bool) (verdict, error){
	"late-heartbeat": lateHeartbeat,
	"left-client":    leftClient,
	"crash-midway":   crashMidway,
}

// TestMain runs the case that the first argument names instead of tests: run.sh needs an exit code of its own.
func TestMain(*testing.M) { os.Exit(runCase()) }

func runCase() int {
	if len(os.Args) < 4 {
		fmt.Fprintln(os.Stderr, "usage: trial CASE PROGRAM RECORD")
		return exitNotRun
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintf(os.Stderr, "case %q is not known\n", os.Args[1])
		return exitNotRun
	}
	trouble := os.Getenv("TROUBLE") != "0"
	w, err := newWorld(os.Args[2], os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		return exitNotRun
	}
	defer w.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-signals
		w.close()
		os.Exit(exitNotRun)
	}()
	watchdog := time.AfterFunc(caseLimit, func() {
		w.close()
		os.Exit(exitNotRun)
	})
	defer watchdog.Stop()
	w.note("case %s, disruption %v", os.Args[1], trouble)
	v, err := run(w, trouble)
	if err != nil {
		w.note("not run: %v", err)
		fmt.Fprintln(os.Stderr, "not run:", err)
		return exitNotRun
	}
	w.note("%s", v.text)
	fmt.Println(v.text)
	if v.broken {
		return exitBroken
	}
	return exitHeld
}
