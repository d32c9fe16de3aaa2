package ibisscenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"

	"github.com/rogpeppe/go-internal/testscript"
)

const backendUsage = "backend start NAME service=SERVICE node=NODE [slots=N] [queue=N] [time=SPAN] [cold=SPAN] [checks=yes] [hide=yes]" +
	" | backend freeze|thaw|kill|stop|terminate|hangup|cold NAME | backend straggle NAME SPAN FACTOR | backend truncate|drop|fail NAME N"

// counts is what a backend server tells of what it ran.
type counts struct {
	ByIdempotencyKey map[string]int `json:"byIdempotencyKey"`
	ByKey            map[string]int `json:"byKey"`
	Overloaded       int            `json:"overloaded"`
	Fenced           int            `json:"fenced"`
	Runs             int            `json:"runs"`
}

// backendCommand starts a backend server, or brings a fault on it.
func (w *world) backendCommand(_ *testscript.TestScript, args []string) error {
	in := parseWords(args, "service", "node", "slots", "queue", "time", "cold", "checks", "hide")
	if len(in.plain) < 2 {
		return errors.New("usage: " + backendUsage)
	}
	verb, name, rest := in.plain[0], in.plain[1], in.plain[2:]
	if verb == "start" {
		return w.startBackend(name, in)
	}
	b, err := w.backend(name)
	if err != nil {
		return err
	}
	switch {
	case verb == "cold":
		return w.post(http.MethodPost, b.address, "/standin/cold", nil)
	case verb == "straggle" && len(rest) == 2:
		return w.straggle(b, rest[0], rest[1])
	case len(rest) == 1:
		return w.failNext(b, verb, rest[0])
	case verb == "kill" || verb == "stop":
		w.bury(b)
	}
	known, err := b.signal(verb)
	if !known {
		return errors.New("usage: " + backendUsage)
	}
	return err
}

func (w *world) startBackend(name string, in words) error {
	service, err := in.need("service")
	if err != nil {
		return err
	}
	nodeName, err := in.need("node")
	if err != nil {
		return err
	}
	n, err := w.node(nodeName)
	if err != nil {
		return err
	}
	b, again := w.backends[name]
	if !again {
		b = &backendProcess{
			address: w.address(w.host(), serverPort),
		}
	} else if b.running() {
		return fmt.Errorf("backend server %s is running", name)
	}
	flags := []string{"backend", "--name", name, "--service", service, "--node", "http://" + n.at(backendPort), "--listen", b.address}
	for option, flag := range map[string]string{"slots": "--slots", "queue": "--queue", "time": "--service-time", "cold": "--cold-start"} {
		if value, ok := in.options[option]; ok {
			flags = append(flags, flag, value)
		}
	}
	for option, flag := range map[string]string{"checks": "--checks-grants", "hide": "--hide-cold"} {
		if in.options[option] == "yes" {
			flags = append(flags, flag)
		}
	}
	if b.process, err = startProcess(w.dir, name, flags...); err != nil {
		return err
	}
	w.backends[name] = b
	return poll(startTimeout, func() error { return listening(b.address) })
}

func (w *world) straggle(b *backendProcess, span, factor string) error {
	value, err := strconv.ParseFloat(factor, 64)
	if err != nil {
		return err
	}
	return w.post(http.MethodPost, b.address, "/standin/straggle", struct {
		For    string  `json:"for"`
		Factor float64 `json:"factor"`
	}{For: span, Factor: value})
}

// failNext makes the next answers end early, break off after the run, or say that the run failed.
func (w *world) failNext(b *backendProcess, verb, text string) error {
	count, err := strconv.Atoi(text)
	if err != nil {
		return err
	}
	name, ok := map[string]string{"truncate": "truncate", "drop": "dropAfter", "fail": "fail"}[verb]
	if !ok {
		return errors.New("usage: " + backendUsage)
	}
	return w.post(http.MethodPost, b.address, "/standin/faults", map[string]int{name: count})
}

// bury keeps the counts of a server that is about to end, so that what it ran is not forgotten.
func (w *world) bury(b *backendProcess) {
	if found, err := w.read(b); err == nil {
		b.buried = sum(b.buried, found)
	}
}

func (w *world) read(b *backendProcess) (counts, error) {
	var found counts
	response, err := w.client.Get("http://" + b.address + "/standin/counts")
	if err != nil {
		return found, err
	}
	defer func() { _ = response.Body.Close() }()
	return found, json.NewDecoder(response.Body).Decode(&found)
}

// allCounts adds up what every backend server ran, also those that have ended.
func (w *world) allCounts() (counts, error) {
	var total counts
	for name, b := range w.backends {
		total = sum(total, b.buried)
		if !b.running() {
			continue
		}
		found, err := w.read(b)
		if err != nil {
			return total, fmt.Errorf("counts of %s: %w", name, err)
		}
		total = sum(total, found)
	}
	return total, nil
}

func sum(a, b counts) counts {
	return counts{
		ByIdempotencyKey: sumByKey(a.ByIdempotencyKey, b.ByIdempotencyKey),
		ByKey:            sumByKey(a.ByKey, b.ByKey),
		Overloaded:       a.Overloaded + b.Overloaded,
		Fenced:           a.Fenced + b.Fenced,
		Runs:             a.Runs + b.Runs,
	}
}

func sumByKey(a, b map[string]int) map[string]int {
	total := make(map[string]int, len(a)+len(b))
	for _, each := range []map[string]int{a, b} {
		for key, n := range each {
			total[key] += n
		}
	}
	return total
}

func withPort(address string, port int) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		panic("address of the world is malformed: " + err.Error())
	}
	return net.JoinHostPort(host, strconv.Itoa(port))
}
