package ibisbackend

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
)

// Announcer runs in a backend server and announces it to its node every AnnouncePeriod.
type Announcer struct {
	timer   ibistimer.Service
	url     string
	http    *http.Client
	current func() Announcement

	mu           sync.Mutex
	subscription ibistimer.Subscription
	lastErr      error
}

// NewAnnouncer returns an Announcer that posts to the node's local endpoint at the base URL; it calls current for the
// content of each announcement.
func NewAnnouncer(timer ibistimer.Service, nodeURL string, httpClient *http.Client, current func() Announcement) *Announcer {
	if httpClient == nil {
		httpClient = http.DefaultClient
	}
	return &Announcer{
		timer:   timer,
		url:     strings.TrimRight(nodeURL, "/") + PathAnnounce,
		http:    httpClient,
		current: current,
	}
}

// Start sends one announcement immediately and then one every AnnouncePeriod until Stop is called.
func (a *Announcer) Start() {
	a.announceOnce()
	subscription := a.timer.Every(AnnouncePeriod, func(time.Time) { a.announceOnce() })
	a.mu.Lock()
	defer a.mu.Unlock()
	a.subscription = subscription
}

// Stop ends the periodic announcements.
func (a *Announcer) Stop() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.subscription != nil {
		a.subscription.Stop()
		a.subscription = nil
	}
}

// Err returns the error of the last announcement, nil if the node accepted it.
func (a *Announcer) Err() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.lastErr
}

func (a *Announcer) announceOnce() {
	ctx, cancel := context.WithTimeout(context.Background(), AnnouncePeriod)
	defer cancel()
	err := a.Announce(ctx)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lastErr = err
}

// Announce sends one announcement; it fails if the node is unreachable or rejects it.
func (a *Announcer) Announce(ctx context.Context) error {
	body, err := json.Marshal(announcementBody(a.current()))
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, a.url, bytes.NewReader(body))
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	response, err := a.http.Do(request)
	if err != nil {
		return fmt.Errorf("announcement: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxAnnouncementBytes))
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("announcement refused: %s: %s", response.Status, strings.TrimSpace(string(text)))
	}
	return nil
}
