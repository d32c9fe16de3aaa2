package ibisscenario

import (
	"errors"
	"maps"
	"slices"

	"github.com/rogpeppe/go-internal/testscript"
)

const docUsage = "doc init FILE | doc put SECTION FILE token=TOKEN [at=NODE] [wait=SPAN] | doc log token=TOKEN [at=NODE]" +
	" | doc domain in|out DOMAIN token=TOKEN [at=NODE] [wait=SPAN] | doc refused ARGS..."

// docCommand runs the program's document commands against the world, with their output in stdout and stderr.
func (w *world) docCommand(ts *testscript.TestScript, args []string) error {
	if args[0] == "refused" && len(args) > 1 {
		if err := w.docCommand(ts, args[1:]); err == nil {
			return errors.New("the command succeeded, want a refusal")
		}
		return nil
	}
	in := parseWords(args, "token", "at", "wait")
	switch verb := in.plain[0]; {
	case verb == "init" && len(in.plain) == 2:
		return w.runProgram(ts, "doc", "init", ts.MkAbs(in.plain[1]), "--platform", "http://"+w.platform.address)
	case verb == "put" && len(in.plain) == 3:
		return w.runAt(ts, in, "doc", "put", in.plain[1], ts.MkAbs(in.plain[2]))
	case verb == "log" && len(in.plain) == 1:
		return w.runAt(ts, in, "doc", "log")
	case verb == "domain" && len(in.plain) == 3:
		return w.runAt(ts, in, "domain", in.plain[1], in.plain[2])
	}
	return errors.New("usage: " + docUsage)
}

// runAt runs a command of the program at a node, by default any one that runs.
func (w *world) runAt(ts *testscript.TestScript, in words, args ...string) error {
	n, err := w.anyNode(in.or("at", ""))
	if err != nil {
		return err
	}
	if span, ok := in.options["wait"]; ok {
		args = append(args, "--wait", span)
	}
	args = append(args, "--node", "http://"+n.at(operatorPort), "--token", in.or("token", ""))
	return w.runProgram(ts, args...)
}

func (w *world) anyNode(name string) (*nodeProcess, error) {
	if name != "" {
		return w.node(name)
	}
	for _, name := range slices.Sorted(maps.Keys(w.nodes)) {
		if n := w.nodes[name]; n.running() && !n.frozen {
			return n, nil
		}
	}
	return nil, errors.New("no node is running")
}

func (w *world) runProgram(ts *testscript.TestScript, args ...string) error {
	return ts.Exec(program, args...)
}
