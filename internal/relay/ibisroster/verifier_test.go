package ibisroster_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

func TestRoster(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisroster")
}

// Guards against a backend server that has deregistered with an earlier run of the node and is brought back by a heartbeat
// that arrives late (hunt, seed 203864124556).
var _ = Describe("A Verifier", func() {
	start := time.Unix(1000, 0)
	old := ibisroster.ServerIncarnation{ID: "s1", StartedAt: start.UnixMilli() - 5000}

	// Several may have been on their way when the server left (review/5).
	It("does not trust heartbeats of a run that is older than the node, as long as they may have been sent to an earlier run of it", func() {
		v := ibisroster.NewVerifier(start)
		Expect(v.Observe(old, 7, start)).To(Equal(ibisroster.VerdictProbe))
		Expect(v.Observe(old, 8, start.Add(10*time.Millisecond))).To(Equal(ibisroster.VerdictProbe))
		Expect(v.Observe(old, 9, start.Add(time.Second))).To(Equal(ibisroster.VerdictProbe))
		Expect(v.Observe(old, 11, start.Add(5*time.Second))).To(Equal(ibisroster.VerdictProbe))
		Expect(v.Observe(old, 10, start.Add(6*time.Second))).To(Equal(ibisroster.VerdictProbe), "an older one is no evidence")
	})

	It("trusts a run that goes on, one that a health check has confirmed, and one that started after the node", func() {
		v := ibisroster.NewVerifier(start)
		Expect(v.Observe(old, 7, start)).To(Equal(ibisroster.VerdictProbe))
		Expect(v.Observe(old, 8, start.Add(6*time.Second))).To(Equal(ibisroster.VerdictTrusted))
		v = ibisroster.NewVerifier(start)
		Expect(v.Observe(old, 7, start)).To(Equal(ibisroster.VerdictProbe))
		v.Trust(old)
		Expect(v.Observe(old, 8, start)).To(Equal(ibisroster.VerdictTrusted))
		Expect(v.Observe(ibisroster.ServerIncarnation{ID: "s2", StartedAt: start.UnixMilli() + 1}, 1, start)).To(Equal(ibisroster.VerdictTrusted))
	})
})

// Guards against what a heartbeat says that arrives after a later one (review/9).
var _ = It("A Sequence takes what was sent after all that it has taken, and counts anew for a new run", func() {
	var s ibisroster.Sequence
	run := func(startedAt int64) ibisroster.ServerIncarnation {
		return ibisroster.ServerIncarnation{ID: "s1", StartedAt: startedAt}
	}
	Expect(s.Advance(run(5), 0)).To(BeTrue())
	Expect(s.Advance(run(5), 7)).To(BeTrue())
	Expect(s.Advance(run(5), 7)).To(BeFalse())
	Expect(s.Advance(run(5), 6)).To(BeFalse())
	Expect(s.Advance(run(4), 8)).To(BeFalse())
	Expect(s.Advance(run(6), 1)).To(BeTrue())
	Expect(s.Advance(run(5), 9)).To(BeFalse())
	Expect(s.Advance(run(6), 2)).To(BeTrue())
})

var _ = Describe("A Roster in a new era of the store", func() {
	member := func(state ibisroster.State) ibisroster.Member {
		return ibisroster.Member{
			Node: "n1", Address: "127.0.0.1:1",
			Server: ibisroster.Server{Incarnation: ibisroster.ServerIncarnation{ID: "s1", StartedAt: 1}, Service: "desk", Slots: 4, State: state},
		}
	}
	version := ibisstore.NewVersion

	It("keeps a backend server draining that had left, until the writers have had time to write again", func() {
		r := ibisroster.New()
		r.Put(member(ibisroster.StateServing), version(0, 5))
		r.Put(member(ibisroster.StateDraining), version(0, 9))
		r.Remove("n1", version(0, 10))
		r.Put(member(ibisroster.StateServing), version(1, 5))
		m, _ := r.Member("n1")
		Expect(m.AcceptsWork()).To(BeFalse())
		r.EndCatchUp()
		r.Put(member(ibisroster.StateServing), version(1, 5))
		m, _ = r.Member("n1")
		Expect(m.AcceptsWork()).To(BeTrue())
	})

	It("keeps a member whose row is lost", func() {
		r := ibisroster.New()
		r.Put(member(ibisroster.StateServing), version(0, 9))
		r.RetainOnly(map[ibisid.NodeName]bool{}, version(1, 5))
		Expect(r.Len()).To(Equal(1))
		r.Put(member(ibisroster.StateServing), version(1, 6))
		r.RetainOnly(map[ibisid.NodeName]bool{}, version(1, 7))
		Expect(r.Len()).To(BeZero())
	})
})
