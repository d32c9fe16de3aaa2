package ibisbackend

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	// PathLoad is the path at which a backend server reports its load.
	PathLoad = "/ibis/load"
	// PathHealth is the path at which a backend server reports its health by status 200 or 503.
	PathHealth = "/ibis/health"

	maxLoadBytes = 16 << 10
)

// Load is the load that a backend server reported; it is only a hint, because it may be old or wrong.
type Load struct {
	// Running is the number of running requests.
	Running int
	// Queued is the number of requests that are queued in the backend server.
	Queued int
	// Connections is the number of open connections.
	Connections int
	// Cold reports whether the backend server is in a cold start.
	Cold bool
	// SampledAt is the time of the sample on the node's clock.
	SampledAt time.Time
}

// Age returns the time between the sample and now.
func (l Load) Age(now time.Time) time.Duration { return now.Sub(l.SampledAt) }

type loadBody struct {
	Running     int   `json:"running"`
	Queued      int   `json:"queued"`
	Connections int   `json:"connections"`
	Cold        bool  `json:"cold"`
	AgeMillis   int64 `json:"ageMillis"`
}

// WriteLoad answers a request for PathLoad with the load and its age at the given time.
func WriteLoad(w http.ResponseWriter, load Load, now time.Time) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(loadBody{
		Running:     load.Running,
		Queued:      load.Queued,
		Connections: load.Connections,
		Cold:        load.Cold,
		AgeMillis:   load.Age(now).Milliseconds(),
	})
}

// Load requests the load of the backend server; it fails if there is no answer or a malformed one.
func (c *Client) Load(ctx context.Context, now func() time.Time) (Load, error) {
	response, err := c.sendControl(ctx, PathLoad)
	if err != nil {
		return Load{}, err
	}
	defer func() { _ = response.Body.Close() }()
	var body loadBody
	if err := json.NewDecoder(io.LimitReader(response.Body, maxLoadBytes)).Decode(&body); err != nil {
		return Load{}, fmt.Errorf("load report: %w", err)
	}
	return Load{
		Running:     body.Running,
		Queued:      body.Queued,
		Connections: body.Connections,
		Cold:        body.Cold,
		SampledAt:   now().Add(-time.Duration(body.AgeMillis) * time.Millisecond),
	}, nil
}

// Healthy requests the health of the backend server and reports whether it is healthy; it fails if there is no answer.
func (c *Client) Healthy(ctx context.Context) (bool, error) {
	response, err := c.sendControl(ctx, PathHealth)
	if err != nil {
		return false, err
	}
	defer func() { _ = response.Body.Close() }()
	return response.StatusCode == http.StatusOK, nil
}
