package ibisdispatch

import (
	"context"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
)

// unverifiedRetryAfter is the retry-after time for a request without a route or account while the node can't learn whether others know one.
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

// planVerified plans a request that no route matches or whose key is unknown: callers don't repeat what they are told does not
// exist or is not allowed, so the configuration must not be behind.
func (d *Dispatcher) planVerified(ctx context.Context, r Request) (plan, ibismessage.Answer, bool) {
	if d.verifyConfig(ctx) {
		return d.plan(r)
	}
	return plan{}, d.refuseUnverified(), false
}

// verifyConfig reports whether the configuration in force is the newest one that other nodes have, or there is nothing to verify it.
func (d *Dispatcher) verifyConfig(ctx context.Context) bool {
	d.mu.Lock()
	verifier := d.verifier
	d.mu.Unlock()
	return verifier == nil || verifier.Verify(ctx)
}

func (d *Dispatcher) refuseUnverified() ibismessage.Answer {
	return ibismessage.NotRun(ibismessage.ReasonConfigUnverified, d.retryAfter(unverifiedRetryAfter), nil)
}
