package ibisquotadriver_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibismeter"
	"github.com/ibisridge/ibisridge/internal/relay/ibisquotadriver"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroute"
	"github.com/ibisridge/ibisridge/internal/request/ibisquota"
)

func TestQuotaDriver(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisquotadriver")
}

// deployment is a number of drivers on loopback that share a fake clock.
type deployment struct {
	clock   *ibistimer.Fake
	drivers []*ibisquotadriver.Driver
	cut     []*atomic.Bool
	// messages counts those that arrived at a driver.
	messages atomic.Int32
	members  []ibisroster.Member
	window   []time.Time
}

// start starts drivers whose settings are the defaults. A driver that is cut gets no message and no reply, as in a partition.
func start(count int) *deployment {
	d := &deployment{
		clock: ibistimer.NewFake(time.Unix(1_700_000_000, 0)),
	}
	ctx, cancel := context.WithCancel(context.Background())
	DeferCleanup(cancel)
	for i := range count {
		name := ibisid.NodeName(fmt.Sprintf("node-%d", i))
		driver := ibisquotadriver.New(ibisquota.Config{
			Node:        name,
			Incarnation: 1,
			Window:      5 * time.Second,
			Excess:      0.1,
			Slack:       20,
		}, d.clock, ibismeter.New(), zap.NewNop())
		cut := &atomic.Bool{}
		inner := driver.Handler(http.NotFoundHandler())
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			d.messages.Add(1)
			body, _ := io.ReadAll(r.Body)
			isolated := cut.Load()
			for j, c := range d.cut {
				if c.Load() && strings.Contains(string(body), fmt.Sprintf(`"from":"node-%d"`, j)) {
					isolated = true
				}
			}
			if isolated {
				panic(http.ErrAbortHandler)
			}
			r.Body = io.NopCloser(strings.NewReader(string(body)))
			inner.ServeHTTP(w, r)
		}))
		DeferCleanup(server.Close)
		d.drivers, d.cut = append(d.drivers, driver), append(d.cut, cut)
		d.members = append(d.members, ibisroster.Member{
			Node:    name,
			Address: strings.TrimPrefix(server.URL, "http://"),
		})
	}
	for _, driver := range d.drivers {
		go driver.Run(ctx)
	}
	return d
}

// run advances the fake time in steps, each with enough real time for the messages that it causes, and has the drivers serve demand at each.
func (d *deployment) run(duration time.Duration, demand func(step int)) {
	for step := range int(duration / (50 * time.Millisecond)) {
		d.clock.Advance(50 * time.Millisecond)
		time.Sleep(4 * time.Millisecond)
		demand(step)
	}
}

// ask sends requests of the account to a driver at once, at a fixed fake time, and returns how many may run and how many are beyond the
// limit.
func (d *deployment) ask(driver int, account *ibisroute.Account, count int) (ran int, limited int) {
	var mu sync.Mutex
	var group sync.WaitGroup
	for range count {
		group.Go(func() {
			// The fake time stands still while a request waits.
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, refusal, ok := d.drivers[driver].Take(ctx, account)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case ok:
				ran++
				d.window = append(d.window, d.clock.Now())
			case refusal.Limit:
				limited++
			}
		})
	}
	group.Wait()
	return ran, limited
}

var _ = Describe("Drivers of three nodes on loopback", func() {
	account := &ibisroute.Account{Name: "a", Rate: 100, Burst: 50}

	// Guards against quotas that are exceeded while a node is cut off, and against nodes that refuse all for one that is lost.
	It("stay within the limit together while one is partitioned, and serve again afterwards", func() {
		d := start(3)
		none := func(int) {}
		for _, driver := range d.drivers {
			driver.SetMembers(d.members)
			driver.SetAccounts([]*ibisroute.Account{account})
		}
		d.run(12*time.Second, none)
		total := func(phase string, duration time.Duration) []int {
			served := make([]int, len(d.drivers))
			d.run(duration, func(int) {
				for i := range d.drivers {
					ran, _ := d.ask(i, account, 6)
					served[i] += ran
				}
				var recent int
				for _, at := range d.window {
					if d.clock.Now().Sub(at) < 5*time.Second {
						recent++
					}
				}
				Expect(recent).To(BeNumerically("<=", (100*5+50)*1.1+20), phase)
			})
			return served
		}
		whole := total("connected", 5*time.Second)
		Expect(whole[0]+whole[1]+whole[2]).To(BeNumerically(">", 350), "%v", whole)
		d.cut[2].Store(true)
		total("partitioned", 5*time.Second)
		parted := total("partitioned for longer than the term", 5*time.Second)
		Expect(parted[2]).To(BeNumerically(">", 50), "the isolated node uses its own share: %v", parted)
		d.cut[2].Store(false)
		total("healed", 5*time.Second)
		again := total("healed for longer than the term", 5*time.Second)
		Expect(again[0]+again[1]+again[2]).To(BeNumerically(">", 350), "%v", again)
	})

	It("send nothing while no account has a limit", func() {
		d := start(3)
		for _, driver := range d.drivers {
			driver.SetMembers(d.members)
			driver.SetAccounts([]*ibisroute.Account{{Name: "free"}})
		}
		d.run(2*time.Second, func(int) {
			_, _, ok := d.drivers[0].Take(context.Background(), &ibisroute.Account{Name: "free"})
			Expect(ok).To(BeTrue())
		})
		Expect(d.messages.Load()).To(BeZero())
	})

	It("return a token once its request was not run", func() {
		d := start(1)
		d.drivers[0].SetMembers(d.members)
		d.drivers[0].SetAccounts([]*ibisroute.Account{{Name: "one", Rate: 1, Burst: 1}})
		d.run(20*time.Second, func(int) {})
		one := &ibisroute.Account{Name: "one", Rate: 1}
		var release func()
		taken := 0
		for {
			r, refusal, ok := d.drivers[0].Take(context.Background(), one)
			if !ok {
				Expect(refusal.Limit).To(BeTrue())
				Expect(refusal.RetryAfter).To(BeNumerically(">", 0))
				break
			}
			release = r
			taken++
		}
		Expect(taken).To(Equal(11), "a burst of one and half of the slack")
		release()
		_, _, ok := d.drivers[0].Take(context.Background(), one)
		Expect(ok).To(BeTrue())
		_, _, ok = d.drivers[0].Take(context.Background(), one)
		Expect(ok).To(BeFalse())
	})
})
