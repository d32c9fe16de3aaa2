package ibisdispatch

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
)

// unverifiedRetryAfter is the retry-after time for a request without a route while the node can't learn whether others know one.
const unverifiedRetryAfter = time.Second

// ConfigVerifier compares the configuration in force with that of other nodes.
type ConfigVerifier interface {
	// Verify reports whether the node has what other nodes have; a newer configuration is put in force first. It reports false if
	// no other node answers in time.
	Verify(ctx context.Context) bool
}

// SetConfigVerifier sets what verifies the configuration before a request is refused for good; without it none is verified.
func (d *Dispatcher) SetConfigVerifier(verifier ConfigVerifier) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.verifier = verifier
}

// planUnmatched plans a request that no route matches: callers don't repeat what they are told does not exist, so the configuration
// must not be behind.
func (d *Dispatcher) planUnmatched(ctx context.Context, r Request) (plan, ibismessage.Answer, bool) {
	d.mu.Lock()
	verifier := d.verifier
	d.mu.Unlock()
	if verifier == nil || verifier.Verify(ctx) {
		return d.plan(r)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return plan{}, ibismessage.NotRun(ibismessage.ReasonConfigUnverified, d.jitter(unverifiedRetryAfter), nil), false
}
