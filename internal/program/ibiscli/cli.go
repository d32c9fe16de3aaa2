package ibiscli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alexflint/go-arg"
)

// command is a parsed subcommand.
type command interface {
	// run does what the command is for; the error decides the exit code.
	run(ctx context.Context, t Terminal) error
	helped
}

// arguments is the whole command line.
type arguments struct {
	Dev        *devCommand        `arg:"subcommand:dev" help:"run a whole small system in one process"`
	Node       *nodeCommand       `arg:"subcommand:node" help:"run the node beside a backend server"`
	Relay      *relayCommand      `arg:"subcommand:relay" help:"run the node beside a backend server of the users' platform"`
	Doc        *docCommands       `arg:"subcommand:doc" help:"read, check and change the document"`
	Key        *keyCommands       `arg:"subcommand:key" help:"translate keys and find their owners"`
	Status     *statusCommand     `arg:"subcommand:status" help:"show nodes, domains, leases, slots and histograms"`
	Drain      *drainCommand      `arg:"subcommand:drain" help:"let a node hand over and finish its work"`
	Ended      *endedCommand      `arg:"subcommand:ended" help:"declare a node dead whose process has ended for ever"`
	Domain     *domainCommands    `arg:"subcommand:domain" help:"take a failure domain out, or in again"`
	Soak       *soakCommand       `arg:"subcommand:soak" help:"run nodes as processes and inject faults from outside"`
	Explain    *explainCommand    `arg:"subcommand:explain" help:"tell from logs what became of a request"`
	Measure    *measureCommand    `arg:"subcommand:measure" help:"measure the decisions under load and faults"`
	Experiment *experimentCommand `arg:"subcommand:experiment" help:"run a model of a whole system under several policies"`
	Load       *loadCommand       `arg:"subcommand:load" help:"send requests at a fixed rate and measure them"`
	Matrix     *matrixCommand     `arg:"subcommand:matrix" help:"run every fault at every step"`
	Standin    *standinCommand    `arg:"subcommand:standin" help:"run a stand-in for the platform's store"`
	Backend    *backendCommand    `arg:"subcommand:backend" help:"run a stand-in backend server"`
}

// Description returns what the program is, for its help.
func (arguments) Description() string {
	return "ibisridge routes requests to servers that own their keys exclusively."
}

// Version returns what --version prints.
func (arguments) Version() string { return "ibisridge " + version() }

const rootExamples = `  ibisridge dev
  ibisridge node --settings node.json
  ibisridge doc check document.json
  ibisridge key translate mat/catalogue MAT-4711 --document document.json`

// Run parses the arguments, runs the command and returns the exit code.
func Run(ctx context.Context, args []string, t Terminal) int {
	var all arguments
	parser, err := arg.NewParser(arg.Config{
		Program: "ibisridge",
		Out:     t.Err,
	}, &all)
	if err != nil {
		panic("command line is declared wrongly: " + err.Error())
	}
	err = parser.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		writeHelp(parser, t.Out)
		return ExitOK
	case errors.Is(err, arg.ErrVersion):
		_, _ = fmt.Fprintln(t.Out, all.Version())
		return ExitOK
	case err != nil:
		return report(parser, t, usageError("%w", err))
	}
	chosen, ok := parser.Subcommand().(command)
	if !ok {
		return report(parser, t, usageError("a command is missing"))
	}
	if _, ok := chosen.(hangupHandler); !ok {
		ctx, _ = signal.NotifyContext(ctx, syscall.SIGHUP)
	}
	return report(parser, t, chosen.run(ctx, t))
}

// hangupHandler is a command that handles SIGHUP itself; the signal stops the others as SIGTERM does.
type hangupHandler interface{ handlesHangup() }

// writeHelp writes the help of the chosen command, with its examples.
func writeHelp(parser *arg.Parser, out io.Writer) {
	names := parser.SubcommandNames()
	if err := parser.WriteHelpForSubcommand(out, names...); err != nil {
		panic("help of a command that was parsed: " + err.Error())
	}
	text := rootExamples
	if shown, ok := parser.Subcommand().(helped); ok {
		text = shown.examples()
		_, _ = fmt.Fprintf(out, "\n%s\n", shown.Description())
	}
	_, _ = fmt.Fprintf(out, "\nExamples:\n%s\n\n%s\n", text, exitHelp)
}

// helped is a command, or a group of commands, that has help of its own.
type helped interface {
	// Description returns what the command is for.
	Description() string
	// examples returns command lines that can be pasted, one a line.
	examples() string
}

func report(parser *arg.Parser, t Terminal, err error) int {
	code := exitCode(err)
	if code == ExitOK {
		return code
	}
	if code == ExitUsage {
		_ = parser.WriteUsageForSubcommand(t.Err, parser.SubcommandNames()...)
	}
	text := strings.TrimPrefix(err.Error(), errUsage.Error()+": ")
	_, _ = fmt.Fprintln(t.Err, "error: "+text)
	return code
}
