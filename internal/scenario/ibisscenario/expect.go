package ibisscenario

import (
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

const expectUsage = "expect outcome OUTCOME | status CODE | server NAME|not NAME | whole | broken | bytes N | body REGEXP | header NAME VALUE" +
	" | runs IDEMPOTENCYKEY N | overloaded N | fenced N | " + ownerUsage

// expectCommand checks the last answer, or what the backend servers ran.
func (w *world) expectCommand(_ *testscript.TestScript, args []string) error { return w.expect(args) }

func (w *world) expect(args []string) error {
	switch args[0] {
	case "runs", "overloaded", "fenced":
		return w.expectCounts(args)
	case "owner":
		return w.expectOwner(args[1:])
	}
	if w.last == nil {
		return errors.New("nothing was sent yet")
	}
	return w.last.expect(args)
}

func (s *sent) expect(args []string) error {
	want := strings.Join(args[1:], " ")
	switch args[0] {
	case "outcome":
		return s.same("outcome", string(s.outcome), want)
	case "status":
		return s.same("status", strconv.Itoa(s.status), want)
	case "server":
		if name, not := strings.CutPrefix(want, "not "); not {
			return s.other("server", s.server(), name)
		}
		return s.same("server", s.server(), want)
	case "whole":
		return s.same("error", fmt.Sprint(s.err), fmt.Sprint(error(nil)))
	case "broken":
		return s.other("error", fmt.Sprint(s.err), fmt.Sprint(error(nil)))
	case "bytes":
		return s.same("bytes", strconv.Itoa(len(s.body)), want)
	case "body":
		return s.matches(want)
	case "header":
		if len(args) == 3 {
			return s.same(args[1], s.header.Get(args[1]), args[2])
		}
	}
	return errors.New("usage: " + expectUsage)
}

func (s *sent) matches(pattern string) error {
	matched, err := regexp.MatchString(pattern, s.body)
	if err == nil && !matched {
		err = fmt.Errorf("body does not match %q: %s", pattern, s)
	}
	return err
}

func (s *sent) same(what, got, want string) error {
	if got == want {
		return nil
	}
	return fmt.Errorf("%s is %q, want %q: %s", what, got, want, s)
}

func (s *sent) other(what, got, unwanted string) error {
	if got != unwanted {
		return nil
	}
	return fmt.Errorf("%s is %q, want another: %s", what, got, s)
}

const maxShown = 500

// String tells the whole answer, for a failure.
func (s *sent) String() string {
	return fmt.Sprintf("status %d, outcome %s, after %s, error %v, body %.*s", s.status, s.outcome, s.took, s.err, maxShown, s.body)
}

func (w *world) expectCounts(args []string) error {
	total, err := w.allCounts()
	if err != nil {
		return err
	}
	var got int
	switch {
	case args[0] == "runs" && len(args) == 3:
		key, err := w.key(args[1])
		if err != nil {
			return err
		}
		got = total.ByIdempotencyKey[key]
	case args[0] == "overloaded" && len(args) == 2:
		got = total.Overloaded
	case args[0] == "fenced" && len(args) == 2:
		got = total.Fenced
	default:
		return errors.New("usage: " + expectUsage)
	}
	if want := args[len(args)-1]; strconv.Itoa(got) != want {
		return fmt.Errorf("%s is %d, want %s", strings.Join(args[:len(args)-1], " "), got, want)
	}
	return nil
}
