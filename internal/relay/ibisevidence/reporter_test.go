package ibisevidence_test

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/relay/ibisevidence"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
	"github.com/ibisridge/ibisridge/internal/request/ibisquarantine"
)

// commits is a store that hands each commit to the test and takes its outcome from it.
type commits struct {
	ibisstore.Store
	made     chan ibisstore.Commit
	outcomes chan ibisstore.Outcome
}

func (c *commits) Commit(_ context.Context, commit ibisstore.Commit) ibisstore.Result {
	c.made <- commit
	return ibisstore.Result{
		Outcome: <-c.outcomes,
	}
}

func rowsOf(commit ibisstore.Commit) []ibisstore.Row {
	var rows []ibisstore.Row
	for _, w := range commit.Writes {
		rows = append(rows, ibisstore.Row{Key: w.Key, Value: w.Value})
	}
	for _, key := range commit.Removes {
		rows = append(rows, ibisstore.Row{Key: key, Removed: true})
	}
	return rows
}

func TestReporter(t *testing.T) {
	g := NewWithT(t)
	const limit = 10 * time.Second
	store := &commits{made: make(chan ibisstore.Commit), outcomes: make(chan ibisstore.Outcome)}
	now := time.Unix(1_800_000_000, 0)
	reporter := ibisevidence.NewReporter(store, func() time.Time { return now }, zap.NewNop())
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	culprit := ibisquarantine.FingerprintOf("GET", "mats.example", "/crash", nil, 0)
	bystander := ibisquarantine.FingerprintOf("GET", "mats.example", "/1", nil, 0)
	var commit ibisstore.Commit

	// What a server has answered before the rows are written is not written.
	reporter.Share(culprit, "s1/1")
	reporter.Share(culprit, "s2/1")
	reporter.Share(bystander, "s1/1")
	reporter.Withdraw(bystander, "s1/1")
	go reporter.Run(ctx)
	g.Eventually(store.made, limit).Should(Receive(&commit))
	rows := rowsOf(commit)
	g.Expect(rows).To(HaveLen(2))
	for i, server := range []ibisquarantine.Server{"s1/1", "s2/1"} {
		g.Expect(ibisevidence.DecodeRow(rows[i])).To(Equal(ibisquarantine.ServerEndedEvent{Fingerprint: culprit, Server: server, Shared: true}))
	}

	// A commit that may not have taken effect is repeated.
	store.outcomes <- ibisstore.OutcomeUnknown
	g.Eventually(store.made, limit).Should(Receive(&commit))
	g.Expect(rowsOf(commit)).To(Equal(rows))

	// What is withdrawn while a commit writes it is removed by the next one, and written again if a server ends under it once more.
	reporter.Withdraw(culprit, "s2/1")
	store.outcomes <- ibisstore.OutcomeApplied
	g.Eventually(store.made, limit).Should(Receive(&commit))
	g.Expect(commit.Writes).To(BeEmpty())
	g.Expect(ibisevidence.DecodeRow(rowsOf(commit)[0])).To(Equal(ibisquarantine.WithdrawnEvent{Fingerprint: culprit, Server: "s2/1"}))
	store.outcomes <- ibisstore.OutcomeApplied
	reporter.Share(culprit, "s2/1")
	g.Eventually(store.made, limit).Should(Receive(&commit))
	store.outcomes <- ibisstore.OutcomeApplied

	// After the store has come back from an older copy, the rows are written again.
	g.Eventually(func() []ibisstore.Row {
		reporter.Rewrite()
		select {
		case commit = <-store.made:
			store.outcomes <- ibisstore.OutcomeApplied
			return rowsOf(commit)
		case <-time.After(time.Second):
			return nil
		}
	}, limit).Should(Equal(rows))

	// rowsOfNext applies the next commits until they have as many rows.
	rowsOfNext := func(n int) (rows []ibisstore.Row) {
		for len(rows) < n {
			g.Eventually(store.made, limit).Should(Receive(&commit))
			rows = append(rows, rowsOf(commit)...)
			store.outcomes <- ibisstore.OutcomeApplied
		}
		return rows
	}

	// A server's answer removes the rows, whoever wrote them.
	reporter.Withdraw(culprit, "s1/1")
	reporter.Withdraw(bystander, "s9/1")
	removed := rowsOfNext(2)
	g.Expect(removed).To(HaveLen(2))
	for _, row := range removed {
		g.Expect(row.Removed).To(BeTrue(), row.Key.Name)
	}

	// Rows of nodes that are gone are removed when nobody counts them any more.
	now = now.Add(3 * ibisquarantine.Retention)
	reporter.Observe(rows)
	g.Expect(rowsOfNext(2)).To(HaveEach(HaveField("Removed", true)))
}

// TestReporterRepeatsChanges guards against a removal that is dropped with an equal one whose commit is still on its way.
func TestReporterRepeatsChanges(t *testing.T) {
	g := NewWithT(t)
	const limit = 10 * time.Second
	store := &commits{made: make(chan ibisstore.Commit), outcomes: make(chan ibisstore.Outcome)}
	reporter := ibisevidence.NewReporter(store, time.Now, zap.NewNop())
	culprit := ibisquarantine.FingerprintOf("GET", "mats.example", "/crash", nil, 0)
	go reporter.Run(t.Context())
	for range 3 {
		reporter.Withdraw(culprit, "s1/1")
		var commit ibisstore.Commit
		g.Eventually(store.made, limit).Should(Receive(&commit))
		g.Expect(commit.Removes).To(HaveLen(1))
		reporter.Withdraw(culprit, "s1/1")
		store.outcomes <- ibisstore.OutcomeApplied
		g.Eventually(store.made, limit).Should(Receive(&commit))
		g.Expect(commit.Removes).To(HaveLen(1))
		store.outcomes <- ibisstore.OutcomeApplied
	}
}

func TestDecodeRow(t *testing.T) {
	g := NewWithT(t)
	for _, name := range []string{"", "s1/1", "00112233445566778899aabbccddeeff", "00112233445566778899aabbccddeeff/"} {
		_, err := ibisevidence.DecodeRow(ibisstore.Row{Key: ibisstore.Key{Table: ibisrange.TablePages, Partition: ibisevidence.Partition, Name: name}})
		g.Expect(err).To(HaveOccurred(), name)
	}
}
