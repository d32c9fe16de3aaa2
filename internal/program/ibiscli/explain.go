package ibiscli

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"
	"time"
)

type explainCommand struct {
	Request string   `arg:"positional,required" placeholder:"ID" help:"the caller's id of the request"`
	Logs    []string `arg:"positional" placeholder:"LOG" help:"logs of nodes; none for standard input"`
	Around  string   `arg:"--around" default:"2s" help:"how long before the request other events of its nodes are shown"`
}

// Description returns what the command is for, for its help.
func (explainCommand) Description() string {
	return "Tells from logs of nodes what became of a request and of the calls that its run made, and what happened at the nodes that took part."
}

func (*explainCommand) examples() string {
	return `  ibisridge explain 9c41d07be2a35f68 node-*.log
  cat node-*.log | ibisridge explain 9c41d07be2a35f68`
}

// logLine is what explain reads of a line.
type logLine struct {
	Time    time.Time `json:"time"`
	Level   string    `json:"level"`
	Message string    `json:"message"`
	Node    string    `json:"node"`
	Request string    `json:"request"`
	Class   string    `json:"class"`
	Service string    `json:"service"`
	Key     int       `json:"key"`
	Config  uint64    `json:"config"`
	Asked   []string  `json:"asked"`
	Outcome string    `json:"outcome"`
	Reason  string    `json:"reason"`
	Status  int       `json:"status"`
	Held    string    `json:"held"`
	Age     string    `json:"age"`
	Target  string    `json:"target"`
	Retry   string    `json:"retryAfter"`
	Error   string    `json:"error"`
	text    string
}

// causes says in words what each reason means for whoever asks.
var causes = map[string]string{
	"target":           "the gate had no slot in time for the target, and other requests could still be served in time",
	"deadline":         "the deadline passed, or would have before an answer",
	"link":             "the answer would have come past its target behind the long answers that wait for the node's link",
	"rate":             "the tenant sent more than its rate",
	"slow":             "the backend server answered far slower than usual",
	"badRequest":       "the request can't be read",
	"queueFull":        "the class's queue at the gate was full",
	"busy":             "every backend server that may run it had just refused this class or was set aside",
	"draining":         "the backend server or its node is leaving",
	"domainOut":        "operators took the failure domain out",
	"serverFull":       "the backend server itself turned it away",
	"serverEnded":      "the backend server's port took no connections",
	"otherServer":      "the node had no backend server of the service",
	"keyElsewhere":     "another node owns the key; news of the move had not arrived",
	"keyMoving":        "the key was on its way to another backend server",
	"unreachable":      "no connection to the node could be opened",
	"connections":      "the backend server takes no more connections",
	"quarantined":      "several backend servers ended while they had this request, so that it is not run",
	"serverReset":      "the backend server reset the connection while all its slots were in use: it may have run",
	"calls":            "requests of the class fail at this gate because their calls to other services fail",
	"serverCrashed":    "the backend server ended while it had the request: it may have run",
	"broken":           "the connection or the answer broke after the request was sent: it may have run",
	"cancelled":        "the caller left",
	"noServer":         "no backend server of the service may run it",
	"stopping":         "the node was about to end",
	"noRoute":          "no route matches host and path",
	"internal":         "the node failed by a fault of its own; its log has the stack: it may have run",
	"faultyRoute":      "the configuration of the matching route can't be used; the log line of the configuration says why",
	"memory":           "the request did not fit into the memory that clients may hold at the node",
	"noConfig":         "the node knew no configuration yet",
	"unauthorized":     "it carried no key of an account, or an unknown or removed one",
	"faultyAccount":    "its key can't be assigned to one account; the log line of the configuration says why",
	"accountChanged":   "its key moved to another account while it waited",
	"quota":            "the limit of its account was reached",
	"quotaUnknown":     "its account has a limit, and the node could not learn whether it was reached",
	"configUnverified": "no route matches or the key is unknown, and no other node said in time whether it had a newer configuration",
	"tooLong":          "the body is longer than the configuration allows",
	"headerTooLong":    "the headers are longer than the configuration allows",
}

func (c *explainCommand) run(_ context.Context, t Terminal) error {
	around, err := time.ParseDuration(c.Around)
	if err != nil {
		return usageError("--around: %w", err)
	}
	lines, err := c.read(t)
	if err != nil {
		return err
	}
	slices.SortStableFunc(lines, func(a, b logLine) int { return a.Time.Compare(b.Time) })
	var own []logLine
	for _, l := range lines {
		if l.Request == c.Request || strings.HasPrefix(l.Request, c.Request+".") {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return fmt.Errorf("no line names request %q: its node's log is missing, or the line was sampled away under load", c.Request)
	}
	for _, l := range own {
		l.explain(t.Out, l.Request != c.Request)
	}
	nodes := map[string]bool{}
	for _, l := range own {
		nodes[l.Node] = true
		for _, asked := range l.Asked {
			name, _, _ := strings.Cut(asked, "@")
			nodes[name] = true
		}
	}
	began, ended := own[0].Time.Add(-around), own[len(own)-1].Time
	_, _ = fmt.Fprintf(t.Out, "events at these nodes from %s before:\n", around)
	for _, l := range lines {
		if l.Request == "" && nodes[l.Node] && l.Time.After(began) && !l.Time.After(ended) {
			_, _ = fmt.Fprintf(t.Out, "  %s %s\n", l.Time.Format("15:04:05.000"), l.text)
		}
	}
	return nil
}

// explain writes in words what became of a request.
func (l logLine) explain(out io.Writer, call bool) {
	what := "request"
	if call {
		what = "call made by its run,"
	}
	_, _ = fmt.Fprintf(out, "%s %s: %s %s of class %s for service %s, key %d, under configuration %d\n",
		l.Time.Format("15:04:05.000"), l.Node, what, l.Request, l.Class, l.Service, l.Key, l.Config)
	if l.Age != "" && l.Age != "0s" {
		_, _ = fmt.Fprintf(out, "  its caller had been trying for %s already (target %s)\n", l.Age, l.Target)
	}
	for i, asked := range l.Asked {
		_, _ = fmt.Fprintf(out, "  try %d: %s\n", i+1, asked)
	}
	if l.Outcome == "done" {
		_, _ = fmt.Fprintf(out, "  answered %d by the backend server after %s\n", l.Status, l.Held)
		return
	}
	said := "it has not run"
	if l.Outcome != "notRun" {
		said = "it may have run"
	}
	_, _ = fmt.Fprintf(out, "  ended after %s: %s; %s\n", l.Held, said, cause(l.Reason))
	if l.Retry != "" && l.Retry != "0s" {
		_, _ = fmt.Fprintf(out, "  the caller was told to come back after %s\n", l.Retry)
	}
	if l.Error != "" {
		_, _ = fmt.Fprintf(out, "  error: %s\n", l.Error)
	}
}

func cause(reason string) string {
	if text, ok := causes[reason]; ok {
		return fmt.Sprintf("%s (%s)", text, reason)
	}
	return reason
}

func (c *explainCommand) read(t Terminal) ([]logLine, error) {
	if len(c.Logs) == 0 {
		return readLog(t.In)
	}
	var all []logLine
	for _, name := range c.Logs {
		file, err := os.Open(t.path(name))
		if err != nil {
			return nil, usageError("%w", err)
		}
		lines, err := readLog(file)
		_ = file.Close()
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads JSON lines; what stands before the first brace of a line, such as a collector's prefix, is dropped, and
// so are lines of other programs.
func readLog(in io.Reader) ([]logLine, error) {
	const longest = 1 << 20
	scanner := bufio.NewScanner(in)
	scanner.Buffer(make([]byte, 0, 64<<10), longest)
	var out []logLine
	for scanner.Scan() {
		text := scanner.Text()
		i := strings.IndexByte(text, '{')
		if i < 0 {
			continue
		}
		var l logLine
		if json.Unmarshal([]byte(text[i:]), &l) == nil && !l.Time.IsZero() {
			l.text = text[i:]
			out = append(out, l)
		}
	}
	return out, scanner.Err()
}
