package ibiscli

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/measure/ibispath"
)

type loadCommand struct {
	URL     string        `arg:"positional,required" placeholder:"URL" help:"what is asked for, with GET"`
	Rate    float64       `arg:"--rate" default:"100" help:"requests a second"`
	For     time.Duration `arg:"--for" default:"10s" help:"how long"`
	Workers int           `arg:"--workers" default:"50" help:"requests under way at most, each on a connection of its own"`
	Header  []string      `arg:"--header,separate" placeholder:"NAME:VALUE" help:"header of every request; may be given several times"`
}

// Description returns what the command is for, for its help.
func (loadCommand) Description() string {
	return "Sends requests at a fixed rate and tells how long they took, counted from when each was due, so that a stall is not " +
		"hidden by the requests that it held back."
}

func (*loadCommand) examples() string {
	return `  ibisridge load http://127.0.0.1:8080/designs/MAT-4711 --rate 500 --for 30s --header "Authorization: Bearer TOKEN"`
}

func (c *loadCommand) target() (ibispath.Target, error) {
	at, err := url.Parse(c.URL)
	if err != nil || at.Scheme != "http" && at.Scheme != "https" || at.Host == "" {
		return ibispath.Target{}, usageError("%q: must be a URL such as http://127.0.0.1:8080/path", c.URL)
	}
	switch {
	case c.Rate <= 0:
		return ibispath.Target{}, usageError("--rate: %v must be above 0", c.Rate)
	case c.For <= 0:
		return ibispath.Target{}, usageError("--for: %s must be above 0", c.For)
	case c.Workers < 1:
		return ibispath.Target{}, usageError("--workers: %d must be 1 or more", c.Workers)
	}
	header := make(http.Header)
	for _, text := range c.Header {
		name, value, ok := strings.Cut(text, ":")
		if !ok || name == "" {
			return ibispath.Target{}, usageError("--header: %q must be a name, a colon and a value", text)
		}
		header.Add(strings.TrimSpace(name), strings.TrimSpace(value))
	}
	return ibispath.Target{
		Name:   c.URL,
		URL:    c.URL,
		Header: header,
	}, nil
}

func (c *loadCommand) run(ctx context.Context, t Terminal) error {
	target, err := c.target()
	if err != nil {
		return err
	}
	load := ibispath.NewLoad(c.Workers)
	defer load.Close()
	result, err := load.Paced(ctx, target, c.Rate, c.For)
	if err != nil {
		return err
	}
	list := table{
		header: []string{"ANSWERS", "FAILURES", "PER SECOND", "P50", "P90", "P99", "P99.9"},
	}
	span := func(share float64) string { return result.Quantile(share).Round(10 * time.Microsecond).String() }
	list.add(strconv.FormatInt(result.Requests, 10), strconv.FormatInt(result.Failures, 10), fmt.Sprintf("%.1f", result.Rate()),
		span(0.5), span(0.9), span(0.99), span(0.999))
	list.write(t)
	if result.Requests == 0 {
		return fmt.Errorf("%w: %s gave no answer", errUnavailable, c.URL)
	}
	return nil
}
