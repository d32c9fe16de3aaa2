package ibismatrix

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	ibisexample "github.com/ibisridge/ibisridge/examples"
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/document/ibisdoc"
	"github.com/ibisridge/ibisridge/internal/document/ibissection"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
	"github.com/ibisridge/ibisridge/internal/program/ibisembed"
	"github.com/ibisridge/ibisridge/internal/standin/ibisserver"
)

const (
	sampleToken = "ibis_pirkanmaa-shops.till_e526812ef4cdc3a745e22b318a9dad390148fe5b210f3230"
	samplePath  = "/designs/MAT-4711"
	// openTimeout is the patience for the nodes to gather, which is no promise: beside 45 runnable threads on six processors
	// it took more than 30 seconds.
	openTimeout  = 2 * time.Minute
	orderTimeout = 15 * time.Second
)

var samplePlaces = []ibisid.Place{
	{Region: "uusimaa", Domain: "helsinki-a"},
	{Region: "uusimaa", Domain: "espoo-b"},
	{Region: "pirkanmaa", Domain: "tampere-a"},
	{Region: "pohjois-pohjanmaa", Domain: "oulu-a"},
}

// bench is a small system with the owner of the sample key.
type bench struct {
	*ibisembed.System
	client *http.Client
	owner  *ibisembed.Pair
}

func openBench(ctx context.Context) (*bench, error) {
	var sections ibisdoc.Sections
	if err := json.Unmarshal(ibisexample.Document("kynnysmatto"), &sections); err != nil {
		return nil, err
	}
	system, err := ibisembed.New(zap.NewNop())
	if err != nil {
		return nil, err
	}
	outcome := ibissection.New(system.Table(), system.Table(), ibistimer.New()).Init(ctx, uuid.NewString(), sections)
	if outcome.Status != ibissection.StatusApplied {
		return nil, errors.Join(fmt.Errorf("first document: %s: %s", outcome.Status, outcome.Reason), system.Close())
	}
	b := &bench{
		System: system,
		client: &http.Client{
			Timeout: orderTimeout,
			Transport: &http.Transport{
				DisableKeepAlives: true,
			},
		},
	}
	if err := b.start(ctx); err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

func (b *bench) close() { _ = b.Close() }

func (b *bench) start(ctx context.Context) error {
	for i, place := range samplePlaces {
		_, err := b.Start(ibisembed.PairConfig{
			Name:  ibisid.NodeName(fmt.Sprintf("floor-%d", i+1)),
			Place: place,
			Server: ibisserver.Config{
				Service:     "print-floor",
				ServiceTime: serviceTime,
				ColdStart:   coldStart,
				HideCold:    true,
			},
		})
		if err != nil {
			return err
		}
	}
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	began := time.Now()
	if err := b.WaitReady(ctx); err != nil {
		return err
	}
	ready := time.Since(began)
	if err := b.findOwner(ctx); err != nil {
		return fmt.Errorf("%w; the nodes were ready after %s of %s", err, ready.Round(time.Millisecond), openTimeout)
	}
	return nil
}

// findOwner asks for the sample key at every node until all answers come from one backend server.
func (b *bench) findOwner(ctx context.Context) error {
	var servers map[string]bool
	for ctx.Err() == nil {
		servers = make(map[string]bool)
		for _, p := range b.Pairs() {
			servers[b.send(ctx, p, http.MethodGet, samplePath, "").server()] = true
		}
		for _, p := range b.Pairs() {
			if len(servers) == 1 && servers[string(p.Name())] {
				b.owner = p
				return nil
			}
		}
		time.Sleep(repeatPause)
	}
	return fmt.Errorf("no single owner of the sample key was found, the last answers came from %q", slices.Sorted(maps.Keys(servers)))
}

// runs returns how often the order ran, over all backend servers.
func (b *bench) runs(key string) int {
	total := 0
	for _, p := range b.Pairs() {
		total += p.Server.Counts().ByIdempotencyKey[key]
	}
	return total
}

func (b *bench) order(ctx context.Context, at *ibisembed.Pair, key string) answer {
	return b.send(ctx, at, http.MethodPost, samplePath+"/prints", key)
}

// answer is how a request ended for its caller.
type answer struct {
	outcome ibisid.Outcome
	whole   bool
	body    string
}

// server returns the name of the backend server that answered, empty for a refusal.
func (a answer) server() string {
	var body struct {
		Server string `json:"server"`
	}
	_ = json.Unmarshal([]byte(a.body), &body)
	return body.Server
}

// send sends a request; no answer, or one that is visibly cut short, is unknown to the caller.
func (b *bench) send(ctx context.Context, at *ibisembed.Pair, method, path, key string) answer {
	lost := answer{
		outcome: ibisid.OutcomeUnknown,
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+at.Node.CallerAddress()+path, strings.NewReader(""))
	if err != nil {
		return lost
	}
	request.Header.Set("Authorization", "Bearer "+sampleToken)
	if key != "" {
		request.Header.Set(ibiscaller.HeaderIdempotencyKey, key)
	}
	response, err := b.client.Do(request)
	if err != nil {
		return lost
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return lost
	}
	outcome := ibisid.Outcome(response.Header.Get(ibiscaller.HeaderOutcome))
	if outcome == "" {
		outcome = ibisid.OutcomeDone
	}
	return answer{
		outcome: outcome,
		whole:   response.StatusCode != http.StatusOK || json.Valid(body),
		body:    string(body),
	}
}
