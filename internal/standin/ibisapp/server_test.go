package ibisapp_test

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/standin/ibisapp"
	"github.com/ibisridge/ibisridge/internal/standin/ibistcp"
)

func freeAddress(t *testing.T) string {
	address, err := ibistcp.FreeAddress("127.0.0.1")
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// TestReleaseAfterAbortedRequest guards against a key that counts as worked on for ever once its request was aborted: a release of
// it was never answered, and the soak reported two holders.
func TestReleaseAfterAbortedRequest(t *testing.T) {
	address, ledger := freeAddress(t), ibisapp.NewLedger()
	server, err := ibisapp.Start(ibisapp.Config{
		ID:        "s1",
		Service:   "floor",
		Address:   address,
		Control:   freeAddress(t),
		Slots:     1,
		Queue:     1,
		Sharded:   true,
		ByCall:    true,
		Heartbeat: time.Hour,
		Work:      time.Hour,
	}, ledger)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Crash)
	send := func(ctx context.Context, method, path, body string, header http.Header) (int, error) {
		request, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, strings.NewReader(body))
		if err != nil {
			return 0, err
		}
		request.Header = header
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			return 0, err
		}
		_ = response.Body.Close()
		return response.StatusCode, nil
	}
	if status, err := send(t.Context(), http.MethodPost, "/-/grant", `{"from":0,"to":9,"fence":1,"holdMs":60000}`, nil); status != http.StatusOK {
		t.Fatal("grant: ", status, err)
	}
	ctx, abort := context.WithCancel(t.Context())
	go func() {
		for ledger.Total() == 0 {
			time.Sleep(time.Millisecond)
		}
		abort()
	}()
	if status, err := send(ctx, http.MethodGet, "/look/x", "", http.Header{
		"Attempt-Id":        {"r1"},
		"Time-Remaining-Ms": {"3600000"},
		"Shard-Key":         {"5"},
	}); err == nil {
		t.Fatal("the request must be aborted, got ", status)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	if status, err := send(ctx, http.MethodPost, "/-/release", `{"from":0,"to":9,"fence":1}`, nil); status != http.StatusOK {
		t.Fatal("release: ", status, err)
	}
}
