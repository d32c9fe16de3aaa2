package ibisquota

import (
	"fmt"
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// BenchmarkTake measures a decision with a local token, by the number of accounts. The account differs with each request.
func BenchmarkTake(b *testing.B) {
	for _, count := range []int{74, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			now := time.Unix(1_700_000_000, 0)
			q := New(Config{Node: "lender", Incarnation: 1, Window: 5 * time.Second, Excess: 0.1, Slack: 20})
			var accounts []Account
			for i := range count {
				accounts = append(accounts, Account{Name: ibisid.TenantName(fmt.Sprintf("account-%d", i)), Rate: 1e9, Burst: 1e9})
			}
			q.SetAccounts(accounts, now)
			q.SetMembers([]Member{{Node: "lender"}}, now)
			for range 40 {
				now = now.Add(tickInterval)
				q.Tick(now)
			}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				i = (i + 7919) % count
				if decision, _ := q.Take(accounts[i].Name, now); decision.Verdict != VerdictRun {
					b.Fatal(decision.Verdict)
				}
			}
		})
	}
}

// BenchmarkTick measures a tick of a lender with 63 delegators, by the number of accounts.
func BenchmarkTick(b *testing.B) {
	for _, count := range []int{74, 100_000} {
		b.Run(fmt.Sprint(count), func(b *testing.B) {
			q, now := lenderWith(63)
			var accounts []Account
			for i := range count {
				accounts = append(accounts, Account{Name: ibisid.TenantName(fmt.Sprintf("account-%d", i)), Rate: 3, Burst: 3})
			}
			q.SetAccounts(accounts, now)
			for i := range 63 {
				q.Answer(Request{From: ibisid.NodeName(fmt.Sprint("node-", i)), Run: 1, Delegation: &Delegation{
					Seq: 1, LenderRun: 7, Ticket: now.UnixNano(), Share: 1. / 63, Slots: ^Slots(0),
				}}, now)
			}
			b.ReportAllocs()
			for b.Loop() {
				q.Tick(now)
			}
		})
	}
}
