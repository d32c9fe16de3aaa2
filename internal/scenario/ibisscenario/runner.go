package ibisscenario

import (
	"context"
	"flag"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/ibisridge/ibisridge/internal/program/ibiscli"
)

// parallelScenarios is the number of scenarios that run at once, each with some ten processes.
const parallelScenarios = 5

type worldKey struct{}

// Main runs the tests of a package with the program at hand for the processes that scenarios start.
func Main(m *testing.M) {
	_ = flag.Set("test.parallel", strconv.Itoa(parallelScenarios))
	testscript.Main(m, map[string]func(){
		program: func() {
			ctx, _ := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
			os.Exit(ibiscli.Run(ctx, os.Args[1:], ibiscli.System()))
		},
	})
}

// Run runs every scenario in the directory; they find the files of the examples directory under $EXAMPLES.
func Run(t *testing.T, dir, examples string) {
	examples, err := filepath.Abs(examples)
	if err != nil {
		t.Fatal(err)
	}
	files, err := scenarios(t, dir)
	if err != nil {
		t.Fatal(err)
	}
	testscript.Run(t, testscript.Params{
		Files: files,
		Setup: func(env *testscript.Env) error {
			env.Setenv("EXAMPLES", examples)
			return setup(env)
		},
		Cmds: map[string]func(*testscript.TestScript, bool, []string){
			"platform": scripted((*world).platformCommand),
			"node":     scripted((*world).nodeCommand),
			"region":   scripted((*world).regionCommand),
			"backend":  scripted((*world).backendCommand),
			"doc":      scripted((*world).docCommand),
			"send":     scripted((*world).sendCommand),
			"await":    scripted((*world).awaitCommand),
			"expect":   scripted((*world).expectCommand),
			"within":   scripted((*world).withinCommand),
			"pause":    scripted((*world).pauseCommand),
		},
	})
}

// knownRed starts the lines of KNOWN-RED.txt, beside the directory of the scenarios, that name a scenario to pass over.
const knownRed = "scenario: "

// scenarios lists the scenarios in the directory without the known red ones, which it prints.
func scenarios(t *testing.T, dir string) ([]string, error) {
	all, err := filepath.Glob(filepath.Join(dir, "*.txtar"))
	if err != nil {
		return nil, err
	}
	text, err := os.ReadFile(filepath.Join(dir, "..", "KNOWN-RED.txt"))
	if err != nil && !os.IsNotExist(err) {
		return nil, err
	}
	var files []string
	for _, file := range all {
		name := strings.TrimSuffix(filepath.Base(file), ".txtar")
		if slices.Contains(strings.Split(string(text), "\n"), knownRed+name) && os.Getenv("IBISRIDGE_KNOWN_RED") == "" {
			t.Logf("known red, passed over: %s", file)
			continue
		}
		files = append(files, file)
	}
	return files, nil
}

func setup(env *testscript.Env) error {
	w, err := newWorld(env.WorkDir)
	if err != nil {
		return err
	}
	env.Values[worldKey{}] = w
	env.Defer(w.close)
	return nil
}

// scripted makes a command of a method of the world; "!" before a command is not allowed, since every check is explicit.
func scripted(f func(*world, *testscript.TestScript, []string) error) func(*testscript.TestScript, bool, []string) {
	return func(ts *testscript.TestScript, neg bool, args []string) {
		if neg {
			ts.Fatalf("! is not allowed here")
		}
		if len(args) == 0 {
			ts.Fatalf("words are missing")
		}
		w := ts.Value(worldKey{}).(*world)
		ts.Check(f(w, ts, args))
	}
}
