package ibisquotadriver

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisdispatch"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/request/ibisquota"
)

const (
	// tickInterval is how often the core is asked what is due. It is below the core's least delay between messages.
	tickInterval = 200 * time.Millisecond
	// maxWait is how long a request waits for a token. A round trip between regions takes 40 ms, and a lender on a slow or busy
	// instance takes several times that to answer; 150 ms refused 3% of the requests of sound accounts.
	maxWait = 400 * time.Millisecond
)

// Meter provides metrics.
type Meter interface {
	// Counter returns the counter with the name, which includes its labels.
	Counter(name string) *metrics.Counter
}

// Driver enforces the accounts' rate limits together with the drivers of the other nodes; it is safe for concurrent use.
type Driver struct {
	node   ibisid.NodeName
	clock  ibistimer.Service
	meter  Meter
	log    *zap.Logger
	client *http.Client

	mu        sync.Mutex
	quota     *ibisquota.Quota
	addresses map[ibisid.NodeName]string
	waiting   map[ibisquota.WaiterID]chan ibisquota.Decision
	// failed lists the lenders that did not answer as of the last tick.
	failed []ibisid.NodeName
}

// New returns a driver without members and accounts.
func New(config ibisquota.Config, clock ibistimer.Service, meter Meter, log *zap.Logger) *Driver {
	return &Driver{
		node:      config.Node,
		clock:     clock,
		meter:     meter,
		log:       log,
		client:    newClient(),
		quota:     ibisquota.New(config),
		addresses: make(map[ibisid.NodeName]string),
		waiting:   make(map[ibisquota.WaiterID]chan ibisquota.Decision),
	}
}

// Run sends what is due until the context ends.
func (d *Driver) Run(ctx context.Context) {
	ticks := d.clock.Every(tickInterval, func(time.Time) { d.tick() })
	<-ctx.Done()
	ticks.Stop()
	d.client.CloseIdleConnections()
}

func (d *Driver) tick() {
	d.update(func(q *ibisquota.Quota, now time.Time) []ibisquota.Effect { return q.Tick(now) })
	d.mu.Lock()
	before, failed := d.failed, d.quota.FailedLenders()
	d.failed = failed
	d.mu.Unlock()
	for _, node := range failed {
		if !slices.Contains(before, node) {
			d.meter.Counter("ibisridge_quota_lenders_lost_total").Inc()
			d.log.Warn("lender of account tokens does not answer; another one is used", zap.String("lender", string(node)))
		}
	}
	for _, node := range before {
		if !slices.Contains(failed, node) {
			d.log.Info("lender of account tokens answers again or has left", zap.String("lender", string(node)))
		}
	}
}

// SetMembers replaces the members of the deployment.
func (d *Driver) SetMembers(members []ibisroster.Member) {
	addresses := make(map[ibisid.NodeName]string, len(members))
	list := make([]ibisquota.Member, 0, len(members))
	for _, m := range members {
		addresses[m.Node] = m.Address
		list = append(list, ibisquota.Member{
			Node:        m.Node,
			Incarnation: m.Incarnation,
			Stopping:    m.Stopping,
		})
	}
	d.mu.Lock()
	d.addresses = addresses
	d.mu.Unlock()
	d.update(func(q *ibisquota.Quota, now time.Time) []ibisquota.Effect { return q.SetMembers(list, now) })
}

// SetAccounts replaces the accounts.
func (d *Driver) SetAccounts(accounts []*ibisroute.Account) {
	var limited []ibisquota.Account
	for _, a := range accounts {
		if a.Rate > 0 {
			limited = append(limited, ibisquota.Account{
				Name:  a.Name,
				Rate:  a.Rate,
				Burst: a.Burst,
			})
		}
	}
	d.update(func(q *ibisquota.Quota, now time.Time) []ibisquota.Effect { return q.SetAccounts(limited, now) })
}

// Stop ends lending; the node can still borrow.
func (d *Driver) Stop() {
	d.update(func(q *ibisquota.Quota, now time.Time) []ibisquota.Effect { return q.Stop(now) })
}

// LimitedAccounts returns the number of accounts with a rate limit.
func (d *Driver) LimitedAccounts() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.quota.Accounts()
}

// Take takes a token for a request of the account and waits for one for up to maxWait or until the context ends. The returned
// function gives the token back.
func (d *Driver) Take(ctx context.Context, account *ibisroute.Account) (func(), ibisdispatch.Refusal, bool) {
	if account == nil || account.Rate <= 0 {
		return func() {}, ibisdispatch.Refusal{}, true
	}
	d.mu.Lock()
	decision, effects := d.quota.Take(account.Name, d.clock.Now())
	var decided chan ibisquota.Decision
	if decision.Verdict == ibisquota.VerdictWait {
		decided = make(chan ibisquota.Decision, 1)
		d.waiting[decision.Waiter] = decided
	}
	d.mu.Unlock()
	d.perform(effects)
	if decided != nil {
		decision = d.await(ctx, account.Name, decision.Waiter, decided)
	}
	if decision.Verdict != ibisquota.VerdictRun {
		d.countDecision(decision.Verdict)
		return nil, ibisdispatch.Refusal{
			Limit:      decision.Verdict == ibisquota.VerdictLimit,
			RetryAfter: decision.RetryAfter,
			Lent:       float64(decision.Lent),
			LentAge:    decision.LentAge,
		}, false
	}
	return func() { d.giveBack(decision.Token) }, ibisdispatch.Refusal{}, true
}

// await returns the decision on a request that waits, a refusal if there is none in time.
func (d *Driver) await(ctx context.Context, account ibisid.TenantName, id ibisquota.WaiterID, decided <-chan ibisquota.Decision) ibisquota.Decision {
	timeout := make(chan struct{})
	timer := d.clock.After(maxWait, func(time.Time) { close(timeout) })
	defer timer.Stop()
	select {
	case decision := <-decided:
		return decision
	case <-timeout:
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, ok := d.waiting[id]; !ok {
		return <-decided
	}
	delete(d.waiting, id)
	return d.quota.Abandon(account, id, d.clock.Now())
}

func (d *Driver) giveBack(token ibisquota.Token) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.quota.Return(token, d.clock.Now())
}

func (d *Driver) countDecision(verdict ibisquota.Verdict) {
	d.meter.Counter(fmt.Sprintf("ibisridge_quota_refused_total{verdict=%q}", verdict)).Inc()
}

// update changes the core and carries out the effects.
func (d *Driver) update(change func(q *ibisquota.Quota, now time.Time) []ibisquota.Effect) {
	d.mu.Lock()
	// The time is read with the lock held, so that it never steps back for the core.
	effects := change(d.quota, d.clock.Now())
	d.mu.Unlock()
	d.perform(effects)
}

// perform ends waits and sends messages.
func (d *Driver) perform(effects []ibisquota.Effect) {
	for _, e := range effects {
		if e.Waiter == 0 {
			go d.send(e.To, e.Request)
			continue
		}
		d.mu.Lock()
		if decided, ok := d.waiting[e.Waiter]; ok {
			delete(d.waiting, e.Waiter)
			decided <- e.Decision
		}
		d.mu.Unlock()
	}
}
