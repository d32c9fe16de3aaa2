package ibislease

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// trio is a joined holder with its three witnesses and a table that never answers.
type trio struct {
	holder    *Holder
	witnesses []*Witness
	now       time.Time
	// lost reports whether the answer to a heartbeat is lost.
	lost    func(AckEvent) bool
	commits int
	// earlier makes the witnesses ones of a version without Unheard.
	earlier bool
}

func newTrio(m mutation) *trio {
	terms := DefaultTerms()
	terms.mutation = m
	t := &trio{
		now:  time.Unix(1000, 0),
		lost: func(AckEvent) bool { return false },
	}
	row := Row{
		Member: member("h", 0),
		Place:  ibisid.Place{Domain: "d"},
		State:  StateLive,
	}
	t.holder = NewHolder(terms, row)
	for i := range WitnessCount {
		w := member("w", i)
		row.Witnesses = append(row.Witnesses, w)
		t.witnesses = append(t.witnesses, NewWitness(terms, w, t.now))
		t.holder.probedSince[w], t.holder.ackedSent[w] = t.now, t.now
	}
	t.holder.setCommitted(row, 1, t.now)
	return t
}

// run lets the time pass in ticks and returns how long the holder was valid.
func (t *trio) run(d time.Duration) time.Duration {
	const tick = DefaultHeartbeat / 8
	valid := time.Duration(0)
	for end := t.now.Add(d); t.now.Before(end); t.now = t.now.Add(tick) {
		for _, effect := range t.holder.Update(TickEvent{}, t.now) {
			switch e := effect.(type) {
			case HeartbeatEffect:
				t.beat(e)
			case CommitEffect:
				t.commits++
			}
		}
		if _, ok := t.holder.Valid(t.now); ok {
			valid += tick
		}
	}
	return valid
}

func (t *trio) beat(e HeartbeatEffect) {
	for _, w := range t.witnesses {
		heartbeat := HeartbeatEvent{
			Holder:  e.Holder,
			Witness: w.self,
			Sent:    e.Sent,
		}
		if !t.earlier {
			heartbeat.Unheard = e.Unheard[w.self]
		}
		answers := w.Update(heartbeat, t.now)
		if ack := AckEvent(answers[0].(AckEffect)); !t.lost(ack) {
			t.holder.Update(ack, t.now)
		}
	}
}

// promises returns the number of witnesses that promise never to renew the lease again.
func (t *trio) promises() int {
	n := 0
	for _, w := range t.witnesses {
		n += len(w.Update(PromiseRequestEvent{
			Witness: w.self,
			Members: []ibisid.Member{t.holder.Self()},
		}, t.now))
	}
	return n
}

var _ = Describe("A holder that is heard", func() {
	everyAnswer := func(AckEvent) bool { return true }

	It("lapses at its witnesses within a term and a heartbeat once it hears nothing, and commits no direct row", func() {
		t := newTrio(mutateNothing)
		Expect(t.run(8 * time.Second)).To(Equal(8 * time.Second))
		t.lost = everyAnswer
		t.run(DefaultTerm + DefaultHeartbeat)
		_, valid := t.holder.Valid(t.now)
		Expect(valid).To(BeFalse())
		Expect(t.promises()).To(Equal(WitnessCount))
		Expect(t.commits).To(BeZero())
	})

	DescribeTable("keeps its lease when answers are lost", func(n int) {
		t := newTrio(mutateNothing)
		t.run(8 * time.Second)
		lost := 0
		t.lost = func(AckEvent) bool {
			lost++
			return lost <= n*WitnessCount
		}
		Expect(t.run(8 * time.Second)).To(Equal(8 * time.Second))
		Expect(t.promises()).To(BeZero())
	},
		Entry("none", 0),
		Entry("one of each witness", 1),
	)

	DescribeTable("is renewed again once it hears, if no witness promised", func(earlier bool, within time.Duration) {
		t := newTrio(mutateNothing)
		t.earlier = earlier
		t.run(8 * time.Second)
		t.lost = everyAnswer
		t.run(8 * time.Second)
		t.lost = func(AckEvent) bool { return false }
		t.run(within)
		_, valid := t.holder.Valid(t.now)
		Expect(valid).To(BeTrue())
		Expect(t.run(8 * time.Second)).To(Equal(8 * time.Second))
		Expect(t.promises()).To(BeZero())
	},
		Entry("by its second heartbeat", false, DefaultHeartbeat/2),
		Entry("by its first heartbeat, where witnesses are of an earlier version", true, DefaultHeartbeat/8),
	)

	DescribeTable("counts no acknowledgement that it declared void and that arrives late", func(m mutation, want bool) {
		t := newTrio(m)
		t.run(8 * time.Second)
		var late []AckEvent
		t.lost = func(e AckEvent) bool {
			if !e.Unrenewed {
				late = append(late, e)
			}
			return true
		}
		t.run(DefaultTerm)
		Expect(t.promises()).To(Equal(WitnessCount))
		for _, e := range late {
			t.holder.Update(e, t.now)
		}
		_, valid := t.holder.Valid(t.now)
		Expect(valid).To(Equal(want))
	},
		Entry("with the rule", mutateNothing, false),
		Entry("it does without the rule", mutateCountVoid, true),
	)

	It("is not valid by answers that don't renew", func() {
		t := newTrio(mutateNothing)
		t.run(8 * time.Second)
		t.lost = func(e AckEvent) bool { return !e.Unrenewed }
		t.run(DefaultTerm)
		Expect(t.run(8 * time.Second)).To(BeZero())
	})

	It("counts no void acknowledgement after it forgot the witness and tries it again", func() {
		t := newTrio(mutateNothing)
		t.run(8 * time.Second)
		w := t.witnesses[0].self
		late := AckEvent{
			Witness: w,
			Holder:  t.holder.Self(),
			Sent:    t.now.Add(-DefaultHeartbeat),
		}
		t.holder.forget(w)
		t.holder.updateProbes([]ibisid.Member{w}, t.now)
		t.holder.Update(late, t.now)
		Expect(t.holder.isFresh(w, t.now)).To(BeFalse())
	})
})

var _ = Describe("A heartbeat that says that its witness is not heard", func() {
	start := time.Unix(1000, 0)
	holder, self := member("h", 0), member("w", 0)
	sent := func(d time.Duration) time.Time { return time.Unix(5, 0).Add(d) }
	beat := func(w *Witness, now, sentAt time.Time, unheard time.Duration) AckEffect {
		return w.Update(HeartbeatEvent{
			Holder:  holder,
			Witness: self,
			Sent:    sentAt,
			Unheard: unheard,
		}, now)[0].(AckEffect)
	}
	promises := func(w *Witness, now time.Time) bool {
		return len(w.Update(PromiseRequestEvent{
			Witness: self,
			Members: []ibisid.Member{holder},
		}, now)) > 0
	}

	DescribeTable("changes nothing when it arrives after one that was sent later", func(m mutation, want bool) {
		terms := DefaultTerms()
		terms.mutation = m
		w := NewWitness(terms, self, start)
		now := start.Add(time.Minute)
		Expect(beat(w, now, sent(time.Second), 0).Unrenewed).To(BeFalse())
		Expect(beat(w, now, sent(0), DefaultTerm).Unrenewed).To(Equal(want))
		Expect(promises(w, now.Add(time.Second))).To(Equal(want))
	},
		Entry("with the rule", mutateNothing, false),
		Entry("it does without the rule", mutateIgnoreOrder, true),
	)

	It("is not renewed, nor is one that was sent before it", func() {
		w := NewWitness(DefaultTerms(), self, start)
		now := start.Add(time.Minute)
		beat(w, now, sent(0), 0)
		Expect(beat(w, now, sent(2*time.Second), time.Second).Unrenewed).To(BeTrue())
		Expect(beat(w, now, sent(time.Second), 0).Unrenewed).To(BeTrue())
		Expect(beat(w, now, sent(2*time.Second), time.Second).Unrenewed).To(BeTrue())
		early := DefaultTerm - time.Second
		Expect(promises(w, now.Add(early))).To(BeFalse(), "the holder's clock may run faster than the witness's")
		Expect(promises(w, now.Add(early+time.Second/25))).To(BeTrue())
	})

	It("gives no promise before the witness ran for a term", func() {
		w := NewWitness(DefaultTerms(), self, start)
		beat(w, start, sent(time.Minute), time.Minute)
		Expect(promises(w, start.Add(DefaultTerm-1))).To(BeFalse())
		Expect(promises(w, start.Add(DefaultTerm))).To(BeTrue())
	})

	It("is not needed: a holder that tells no times is renewed by each heartbeat", func() {
		w := NewWitness(DefaultTerms(), self, start)
		for i := range 10 {
			Expect(beat(w, start.Add(time.Duration(i)*DefaultHeartbeat), time.Time{}, 0).Unrenewed).To(BeFalse())
		}
		Expect(promises(w, start.Add(9*DefaultHeartbeat+DefaultTerm-1))).To(BeFalse())
	})
})
