package ibisidempotency_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

func TestOnce(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisidempotency")
}

var now = time.Unix(1_000_000, 0)

func newMemory(maxBytes int, takeover ibisidempotency.Takeover) *ibisidempotency.Memory {
	m := ibisidempotency.New(ibisidempotency.Config{
		Retention: retention,
		MaxBytes:  maxBytes,
		TicketKey: []byte("0123456789abcdef"),
	})
	m.Acquire(slot, 5, takeover, now)
	return m
}

func begin(m *ibisidempotency.Memory, tenant ibisid.TenantName, key string, fingerprint byte) ibisidempotency.Response {
	return m.Begin(ibisidempotency.BeginEvent{
		Slot:        slot,
		Tenant:      tenant,
		Key:         key,
		Fingerprint: ibisidempotency.Fingerprint{fingerprint},
	}, now)
}

func complete(m *ibisidempotency.Memory, key string, size int) ibisidempotency.Response {
	r := begin(m, "kandy", key, 0)
	if r.Verdict == ibisidempotency.VerdictRun {
		m.MarkSent(r.Run)
		m.Finish(r.Run, ibisidempotency.Answer{
			Status: 201,
			Headers: []ibisidempotency.Header{
				{
					Name:  "Location",
					Value: "/receipts/1",
				},
			},
			Body: make([]byte, size),
		}, now)
	}
	return r
}

var _ = Describe("Memory", func() {
	It("answers repeats with the first answer and refuses another request under the same key", func() {
		m := newMemory(0, ibisidempotency.TakeoverFresh)
		complete(m, "a", 100)
		repeat := begin(m, "kandy", "a", 0)
		Expect(repeat.Verdict).To(Equal(ibisidempotency.VerdictRepeat))
		Expect(repeat.Answer.Status).To(Equal(201))
		Expect(repeat.Answer.Body).To(HaveLen(100))
		Expect(begin(m, "kandy", "a", 1).Reason).To(Equal(ibisidempotency.ReasonMismatch))
		Expect(begin(m, "other", "a", 1).Verdict).To(Equal(ibisidempotency.VerdictRun))
		Expect(begin(m, "other", "a", 1).Verdict).To(Equal(ibisidempotency.VerdictRunning))
	})

	It("drops bodies before it refuses requests, and removes no key", func() {
		m := newMemory(20_000, ibisidempotency.TakeoverFresh)
		keys := 0
		for keys < 1000 && complete(m, fmt.Sprint(keys), 1000).Verdict == ibisidempotency.VerdictRun {
			keys++
		}
		Expect(keys).To(BeNumerically(">", 60))
		for i := range keys {
			Expect(begin(m, "kandy", fmt.Sprint(i), 0).Verdict).To(Equal(ibisidempotency.VerdictRepeat))
		}
		Expect(begin(m, "kandy", "0", 0).Answer.Truncated).To(BeTrue())
		Expect(begin(m, "kandy", "more", 0).Reason).To(Equal(ibisidempotency.ReasonFull))
	})

	It("refuses tickets that are forged or belong to another tenant", func() {
		m := newMemory(0, ibisidempotency.TakeoverLossy)
		ticket, _ := m.IssueTicket(slot, "kandy")
		Expect(begin(m, "other", ticket, 0).Reason).To(Equal(ibisidempotency.ReasonBadTicket))
		Expect(begin(m, "kandy", ticket[:len(ticket)-2]+"AA", 0).Reason).To(Equal(ibisidempotency.ReasonBadTicket))
		Expect(begin(m, "kandy", ticket, 0).Verdict).To(Equal(ibisidempotency.VerdictRun))
	})

	It("allows for the difference of the nodes' clocks after a lossy takeover", func() {
		ahead := now.Add(skew)
		first := newMemory(0, ibisidempotency.TakeoverFresh)
		key := uuidAt(ahead.Add(skew), 1)
		e := ibisidempotency.BeginEvent{
			Slot:   slot,
			Tenant: "kandy",
			Key:    key,
		}
		Expect(first.Begin(e, ahead).Verdict).To(Equal(ibisidempotency.VerdictRun))
		second := newMemory(0, ibisidempotency.TakeoverLossy)
		Expect(second.Begin(e, now.Add(2*skew)).Verdict).To(Equal(ibisidempotency.VerdictUnknown))
	})

	It("exports a slot only when it is held and no request runs", func() {
		m := newMemory(0, ibisidempotency.TakeoverFresh)
		r := begin(m, "kandy", "a", 0)
		m.StopAdmission(slot)
		Expect(begin(m, "kandy", "b", 0).Reason).To(Equal(ibisidempotency.ReasonMoving))
		_, ok := m.Export(slot, now)
		Expect(ok).To(BeFalse())
		m.MarkSent(r.Run)
		m.FinishUnknown(r.Run, now)
		record, ok := m.Export(slot, now)
		Expect(ok).To(BeTrue())
		Expect(record.Entries).To(HaveLen(1))
	})

	It("treats every spelling of a UUID as the same key", func() {
		m := newMemory(0, ibisidempotency.TakeoverFresh)
		id := uuid.MustParse(uuidAt(now, 1))
		Expect(begin(m, "kandy", id.String(), 0).Verdict).To(Equal(ibisidempotency.VerdictRun))
		Expect(begin(m, "kandy", id.URN(), 0).Verdict).To(Equal(ibisidempotency.VerdictRunning))
	})

	DescribeTable("decides a claim by reading its row",
		func(events []ibisidempotency.ClaimEvent, want ibisidempotency.ClaimPhase) {
			claim, effect := ibisidempotency.NewClaim("mine")
			for _, e := range events {
				claim, effect = claim.Update(e)
			}
			Expect(claim.Phase()).To(Equal(want))
			if want == ibisidempotency.ClaimCommitting {
				Expect(effect).To(Equal(ibisidempotency.ClaimCommitEffect{CommitID: "mine"}))
			}
		},
		Entry("applied", []ibisidempotency.ClaimEvent{ibisidempotency.ClaimAppliedEvent{}}, ibisidempotency.ClaimRun),
		Entry("answer lost, own row found", []ibisidempotency.ClaimEvent{ibisidempotency.ClaimUnavailableEvent{}, ibisidempotency.ClaimReadEvent{Found: true, CommitID: "mine"}}, ibisidempotency.ClaimRun),
		Entry("answer lost, no row found", []ibisidempotency.ClaimEvent{ibisidempotency.ClaimUnavailableEvent{}, ibisidempotency.ClaimReadEvent{}}, ibisidempotency.ClaimCommitting),
		Entry("row of another claim found", []ibisidempotency.ClaimEvent{ibisidempotency.ClaimConflictEvent{}, ibisidempotency.ClaimReadEvent{Found: true, CommitID: "theirs"}}, ibisidempotency.ClaimTaken),
		Entry("deadline passes before a late answer", []ibisidempotency.ClaimEvent{ibisidempotency.ClaimDeadlineEvent{}, ibisidempotency.ClaimAppliedEvent{}}, ibisidempotency.ClaimExpired),
	)
})

func BenchmarkExport(b *testing.B) {
	m := newMemory(64<<20, ibisidempotency.TakeoverFresh)
	const entries = 10_000
	for i := range entries {
		complete(m, uuidAt(now.Add(-time.Duration(i)*time.Millisecond), i), 200)
	}
	m.StopAdmission(slot)
	for b.Loop() {
		r, _ := m.Export(slot, now)
		data, err := ibisidempotency.EncodeRecord(r)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(data))/entries, "B/entry")
		b.ReportMetric(float64(m.Bytes())/entries, "memoryB/entry")
	}
}
