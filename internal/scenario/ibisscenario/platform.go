package ibisscenario

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"
)

const platformUsage = "platform start|stop|down [N]|slow SPAN [N]|limit RATE|lose N|up"

type faultBody struct {
	Down           string  `json:"down,omitempty"`
	Delay          string  `json:"delay,omitempty"`
	CallsPerSecond float64 `json:"callsPerSecond,omitempty"`
	Lost           float64 `json:"lost,omitempty"`
	Count          int     `json:"count,omitempty"`
}

// platformCommand starts and stops the platform stand-in, which keeps its content meanwhile, and switches its faults.
func (w *world) platformCommand(_ *testscript.TestScript, args []string) error {
	verb, rest := args[0], args[1:]
	switch verb {
	case "start":
		return w.startPlatform()
	case "stop":
		return w.platform.stop()
	case "up":
		return w.post(http.MethodDelete, w.platform.address, "/standin/faults", nil)
	}
	fault, err := parseFault(verb, rest)
	if err != nil {
		return err
	}
	return w.post(http.MethodPost, w.platform.address, "/standin/faults", fault)
}

func (w *world) startPlatform() error {
	p, err := startProcess(w.dir, "platform", "standin", "--listen", w.platform.address, "--snapshot", "platform.json")
	if err != nil {
		return err
	}
	w.platform.process = p
	return poll(startTimeout, func() error { return listening(w.platform.address) })
}

func parseFault(verb string, rest []string) (faultBody, error) {
	var fault faultBody
	switch {
	case verb == "down":
		fault.Down = "busy"
	case verb == "slow" && len(rest) > 0:
		fault.Delay = rest[0]
		rest = rest[1:]
	case verb == "limit" && len(rest) == 1:
		rate, err := strconv.ParseFloat(rest[0], 64)
		fault.CallsPerSecond = rate
		return fault, err
	case verb == "lose" && len(rest) == 1:
		fault.Lost = 1
	default:
		return fault, errors.New("usage: " + platformUsage)
	}
	if len(rest) == 0 {
		return fault, nil
	}
	count, err := strconv.Atoi(rest[0])
	fault.Count = count
	return fault, err
}

// post sends a switch to a stand-in.
func (w *world) post(method, address, path string, body any) error {
	var text string
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return err
		}
		text = string(encoded)
	}
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(text))
	if err != nil {
		return err
	}
	response, err := w.client.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(response.Body)
	if response.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s: %s", response.Status, strings.TrimSpace(string(answer)))
	}
	return nil
}
