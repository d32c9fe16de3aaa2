package ibisdispatch

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisretrypolicy"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
)

const (
	// faultyAccountRetryAfter is the retry-after time for a key whose account can't be used: the operator must correct the
	// configuration.
	faultyAccountRetryAfter = time.Second
	// noHomeRetryAfter is the retry-after time for a request that no region may run: the operator must change the configuration.
	noHomeRetryAfter = time.Second
)

var (
	errMissingKey = errors.New("the request carries no key")
	errUnknownKey = errors.New("the key belongs to no account")
)

// passedHeader returns the headers that a request passes on under a configuration.
func (r Request) passedHeader(config *ibisroute.Config) http.Header {
	if len(r.AccountHeader) == 0 || config.HasAccounts() {
		return r.Header
	}
	header := r.Header.Clone()
	if header == nil {
		header = make(http.Header, len(r.AccountHeader))
	}
	for name, values := range r.AccountHeader {
		header[name] = values
	}
	return header
}

// authenticate returns the account of a request on a route, nil if it has none and needs none, or a refusal; d.mu is held. On an
// exempt route, a key that belongs to no account or to a faulty one counts as none.
func (d *Dispatcher) authenticate(config *ibisroute.Config, route *ibisroute.Route, r Request) (*ibisroute.Account, ibismessage.Answer, bool) {
	if !config.HasAccounts() {
		return nil, ibismessage.Answer{}, true
	}
	var account *ibisroute.Account
	var fault error
	if r.APIKey != "" {
		account, fault = config.Identify(ibisroute.HashKey(r.APIKey))
	}
	switch {
	case account != nil || route.AuthExempt:
		return account, ibismessage.Answer{}, true
	case r.APIKey == "":
		return nil, ibismessage.NotRun(ibismessage.ReasonUnauthorized, 0, errMissingKey), false
	case fault == nil:
		return nil, ibismessage.NotRun(ibismessage.ReasonUnauthorized, 0, errUnknownKey), false
	}
	return nil, ibismessage.NotRun(ibismessage.ReasonFaultyAccount, d.jitter(faultyAccountRetryAfter), fault), false
}

// refuseHomes returns the answer to a request of an account whose home regions have none in common with those of the route; d.mu is
// held.
func (d *Dispatcher) refuseHomes(account *ibisroute.Account) ibismessage.Answer {
	err := fmt.Errorf("no home region of the account %q is one of the route's", account.Name)
	return ibismessage.NotRun(ibismessage.ReasonNoServer, d.jitter(noHomeRetryAfter), err)
}

// checkAccount checks the account of an order again before an attempt, if another configuration than that of the plan is in force.
// It sets the priority and the homes that are in force, or returns a refusal.
func (d *Dispatcher) checkAccount(ctx context.Context, p *plan, order *ibismessage.Order) (ibismessage.Answer, bool) {
	if d.inForce.Load() == p.config {
		return ibismessage.Answer{}, true
	}
	refusal, ok := d.applyAccount(p, order)
	if refusal.Reason != ibismessage.ReasonUnauthorized {
		return refusal, ok
	}
	if !d.verifyConfig(ctx) {
		return d.refuseUnverified(), false
	}
	return d.applyAccount(p, order)
}

// applyAccount applies the accounts in force to a plan and its order, or returns a refusal.
func (d *Dispatcher) applyAccount(p *plan, order *ibismessage.Order) (ibismessage.Answer, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	config := d.config
	if !config.HasAccounts() {
		// A request that was accepted with accounts is sent as accepted.
		return ibismessage.Answer{}, true
	}
	route, ok := config.Match(p.request.Host, p.request.Path)
	if !ok || route.Fault != nil {
		route = p.route
	}
	account, refusal, ok := d.authenticate(config, route, p.request)
	if !ok {
		return refusal, false
	}
	if !sameAccount(account, p.account) {
		// The tokens of one account must not pay for another's request.
		return ibismessage.NotRun(ibismessage.ReasonAccountChanged, d.jitter(ibisretrypolicy.DefaultRetryAfter), nil), false
	}
	homes, ok := ibisroute.CommonHomes(account, route)
	if !ok {
		return d.refuseHomes(account), false
	}
	p.account, p.homes = account, homes
	order.Header = p.request.passedHeader(config)
	if order.KeyDigest != 0 {
		order.ConfigVersion = uint64(config.Version())
	}
	if !p.call {
		order.Priority = ibisroute.EffectivePriority(account, p.route)
	}
	return ibismessage.Answer{}, true
}

func sameAccount(a, b *ibisroute.Account) bool {
	if a == nil || b == nil {
		return a == b
	}
	return a.Name == b.Name
}
