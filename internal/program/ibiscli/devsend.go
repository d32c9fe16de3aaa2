package ibiscli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
)

const (
	checkTimeout = 20 * time.Second
	checkPoll    = 100 * time.Millisecond
)

// devAnswer is an answer that came back whole.
type devAnswer struct {
	body   []byte
	server ibisid.NodeName
}

func (s *devSystem) get(ctx context.Context, at int, r sampleRequest) (devAnswer, error) {
	return s.send(ctx, http.MethodGet, at, r, "")
}

// send sends a request to a node and fails unless a whole answer with status 200 comes back.
func (s *devSystem) send(ctx context.Context, method string, at int, r sampleRequest, key string) (devAnswer, error) {
	url := "http://" + s.Pairs()[at%len(s.Pairs())].Node.CallerAddress() + r.path
	request, err := http.NewRequestWithContext(ctx, method, url, nil)
	if err != nil {
		return devAnswer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+r.token)
	if key != "" {
		request.Header.Set(ibiscaller.HeaderIdempotencyKey, key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return devAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return devAnswer{}, err
	}
	if response.StatusCode != http.StatusOK {
		return devAnswer{}, fmt.Errorf("%s %s: %s: %s", method, r.path, response.Status, strings.TrimSpace(string(body)))
	}
	var text struct {
		Server ibisid.NodeName `json:"server"`
	}
	_ = json.Unmarshal(body, &text)
	return devAnswer{
		body:   body,
		server: text.Server,
	}, nil
}

func withSize(r sampleRequest) sampleRequest {
	r.path += fmt.Sprintf("?size=%d", downloadBytes)
	return r
}

// until repeats a check until it passes, and fails with its last error where that takes too long.
func until(ctx context.Context, check func() error) error {
	ctx, cancel := context.WithTimeout(ctx, checkTimeout)
	defer cancel()
	ticker := time.NewTicker(checkPoll)
	defer ticker.Stop()
	for {
		err := check()
		if err == nil {
			return nil
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return err
		}
	}
}
