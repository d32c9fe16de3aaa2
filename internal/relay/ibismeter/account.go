package ibismeter

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/VictoriaMetrics/metrics"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
)

const (
	// maxAccounts is the number of accounts with series of their own: the busiest ones.
	maxAccounts = 20
	// sharedAccount is the label of the requests of all other accounts.
	sharedAccount = ibisid.TenantName("other")
	// accountPeriod is the number of requests after which the busiest accounts are chosen again. Requests of earlier periods count
	// half as much with each one, so that at most 3*accountPeriod accounts are held.
	accountPeriod = 4096
	// replaceFactor is how many times as busy an account must be to replace one that has series of its own.
	replaceFactor = 1.5
)

// accounts holds the metrics of the busiest accounts and those of all others together.
type accounts struct {
	// recent is the decayed number of requests of each account.
	recent map[ibisid.TenantName]float64
	// own holds the series of the busiest accounts and those of sharedAccount.
	own map[ibisid.TenantName]*accountMeter
	// left is the number of requests until the busiest accounts are chosen again.
	left int
}

// accountMeter holds the counters of one account.
type accountMeter struct {
	requests map[resultKey]accountCounter
}

type accountCounter struct {
	name    string
	counter *metrics.Counter
}

func newAccounts() accounts {
	return accounts{
		recent: make(map[ibisid.TenantName]float64),
		own:    make(map[ibisid.TenantName]*accountMeter),
		left:   accountPeriod,
	}
}

// RecordAccount counts a request of a client account with its answer.
func (m *Meter) RecordAccount(account ibisid.TenantName, answer ibismessage.Answer) {
	m.mu.Lock()
	defer m.mu.Unlock()
	a := &m.accounts
	a.recent[account]++
	a.left--
	if a.left <= 0 {
		m.chooseAccounts()
	}
	label := account
	series := a.own[account]
	if series == nil {
		if len(a.own) >= maxAccounts {
			label = sharedAccount
		}
		series = a.series(label)
	}
	key := resultKey{
		outcome: answer.Outcome,
		reason:  answer.Reason,
	}
	c, ok := series.requests[key]
	if !ok {
		c.name = fmt.Sprintf("ibisridge_account_requests_total{account=%q,outcome=%q,reason=%q}", label, key.outcome, key.reason)
		c.counter = m.set.GetOrCreateCounter(c.name)
		series.requests[key] = c
	}
	c.counter.Inc()
}

// series returns the series with the label and creates them if necessary.
func (a *accounts) series(label ibisid.TenantName) *accountMeter {
	s := a.own[label]
	if s == nil {
		s = &accountMeter{
			requests: make(map[resultKey]accountCounter),
		}
		a.own[label] = s
	}
	return s
}

// chooseAccounts removes the series of accounts that others have become busier than; m.mu is held. Requests of an account without
// series count for sharedAccount, so those counters only grow.
func (m *Meter) chooseAccounts() {
	a := &m.accounts
	a.left = accountPeriod
	for name, n := range a.recent {
		if n /= 2; n < 0.5 {
			delete(a.recent, name)
		} else {
			a.recent[name] = n
		}
	}
	weight := func(name ibisid.TenantName) float64 {
		if a.own[name] != nil {
			return a.recent[name] * replaceFactor
		}
		return a.recent[name]
	}
	names := make([]ibisid.TenantName, 0, len(a.recent))
	for name := range a.recent {
		names = append(names, name)
	}
	slices.SortFunc(names, func(x, y ibisid.TenantName) int {
		return cmp.Or(cmp.Compare(weight(y), weight(x)), cmp.Compare(x, y))
	})
	busiest := names[:min(len(names), maxAccounts)]
	for name, series := range a.own {
		if name == sharedAccount || slices.Contains(busiest, name) {
			continue
		}
		for _, c := range series.requests {
			m.set.UnregisterMetric(c.name)
		}
		delete(a.own, name)
	}
	for _, name := range busiest {
		a.series(name)
	}
}
