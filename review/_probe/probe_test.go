// Package probe plays one review case against processes of the relay: it starts the store's stand-in, nodes with backend servers beside
// them and callers on loopback addresses, brings the disruption about, and judges what backend servers and callers saw.
//
// It is compiled as a test, since it speaks the platform's protocol, and run as PROBE CASE FOLDER PROGRAM. It exits with 1 if a rule was
// broken, with 0 if all held, and with 2 if the case could not run. With TROUBLE=0 in the environment the disruption is left out.
package probe

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// cases are the cases by the names of their folders.
var cases = map[string]func(w *world) error{
	"6":  leavingHolder,
	"7":  foreignPing,
	"8":  latePing,
	"9":  drill,
	"10": slowReader,
}

// Exit codes.
const (
	exitHeld = iota
	exitBroken
	exitNotRun
)

func TestMain(*testing.M) { os.Exit(play()) }

func play() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: PROBE CASE FOLDER PROGRAM")
		return exitNotRun
	}
	dir, err := os.MkdirTemp("", "probe")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = os.RemoveAll(dir) }()
	out, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = out.Close() }()
	r := &record{
		out:   out,
		began: time.Now(),
	}
	w, err := newWorld(r, dir, os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	done := make(chan error, 1)
	go func() { done <- cases[os.Args[1]](w) }()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	r.line("the disruption is brought about: %t", w.trouble)
	select {
	case err = <-done:
	case s := <-signals:
		err = fmt.Errorf("%w: %s", errSetup, s)
	}
	broken := r.brokenCount()
	w.end()
	w.copyLogs(`"commit of ownership"`, "treated as ended", "deregistered", "panic", "cut", "node stopped", "node is stopping")
	if err != nil && !errors.Is(err, errSetup) {
		err = fmt.Errorf("%w: %w", errSetup, err)
	}
	switch {
	case err != nil:
		r.line("%v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	case broken > 0:
		r.line("verdict: broken")
		fmt.Println("broken")
		return exitBroken
	}
	r.line("verdict: held")
	fmt.Println("held")
	return exitHeld
}
