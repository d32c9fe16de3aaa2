package ibisscenario

import (
	"errors"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const withinUsage = "within SPAN send ARGS... [: EXPECTATION]... | within SPAN expect ARGS..."

// withinCommand repeats a request or an expectation until it holds, and fails where it does not in time.
func (w *world) withinCommand(_ *testscript.TestScript, args []string) error {
	limit, err := time.ParseDuration(args[0])
	if err != nil || len(args) < 3 {
		return errors.New("usage: " + withinUsage)
	}
	switch verb, rest := args[1], args[2:]; verb {
	case "expect":
		return poll(limit, func() error { return w.expect(rest) })
	case "send":
		return poll(limit, func() error { return w.sendAndExpect(rest) })
	}
	return errors.New("usage: " + withinUsage)
}

// pauseCommand lets time pass.
func (w *world) pauseCommand(_ *testscript.TestScript, args []string) error {
	span, err := time.ParseDuration(args[0])
	if err != nil {
		return err
	}
	time.Sleep(span)
	return nil
}

func (w *world) sendAndExpect(args []string) error {
	parts := splitWords(args, ":")
	if err := w.sendCommand(nil, parts[0]); err != nil {
		return err
	}
	for _, expectation := range parts[1:] {
		if err := w.expect(expectation); err != nil {
			return err
		}
	}
	return nil
}

func splitWords(args []string, separator string) [][]string {
	parts := [][]string{nil}
	for _, arg := range args {
		if arg == separator {
			parts = append(parts, nil)
			continue
		}
		parts[len(parts)-1] = append(parts[len(parts)-1], arg)
	}
	return parts
}
