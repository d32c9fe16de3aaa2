package ibisadmit_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// resettingServer runs what the gate admits and what the gate has cut off. It has six slots, queues two more requests and resets beyond.
type resettingServer struct {
	*replay
	learns                    bool
	working, resets, answered int
}

func (s *resettingServer) observe(effect ibisadmit.Effect) {
	e, ok := effect.(ibisadmit.AdmitEffect)
	if !ok {
		return
	}
	delete(s.waiting, e.ID)
	s.after(time.Millisecond, func() { s.begin(e.ID) })
}

func (s *resettingServer) begin(id ibisadmit.RequestID) {
	if s.working >= 6+2 {
		s.resets++
		if s.learns && s.IsFull(s.now) {
			s.update(ibisadmit.ResetEvent{})
		}
		s.update(ibisadmit.FinishEvent{ID: id})
		return
	}
	s.working++
	began := s.now
	work := time.Duration(float64(300*time.Millisecond) * (0.6 + 0.4*s.random.ExpFloat64()))
	cut := s.random.Float64() < 0.4
	if cut {
		s.after(work/4, func() { s.update(ibisadmit.FinishEvent{ID: id, CutOff: true}) })
	}
	s.after(work, func() {
		s.working--
		if !cut {
			s.answered++
			s.update(ibisadmit.FinishEvent{ID: id, Latency: s.now.Sub(began)})
		}
	})
}

// Guards against a gate that takes the slots of runs that it has cut off for free while the server still works on them.
var _ = It("A gate before a server that resets connections when full learns what the server still works on", func() {
	resets, answered := [2]int{}, [2]int{}
	for i, learns := range []bool{false, true} {
		for seed := range uint64(5) {
			s := &resettingServer{replay: newReplay(seed, 6, nil), learns: learns}
			s.replay.observe = s.observe
			s.arrivals(replayClass{name: "job", perSecond: 30, target: time.Second, deadline: 2 * time.Second})
			s.runFor(60 * time.Second)
			resets[i] += s.resets
			answered[i] += s.answered
		}
	}
	GinkgoWriter.Println("resets", resets, "answered", answered)
	Expect(resets[0]).To(BeNumerically(">", 500))
	Expect(resets[1]).To(BeNumerically("<", resets[0]/5))
	Expect(answered[1]).To(BeNumerically(">", answered[0]*9/10))
})

var _ = It("A gate uses all slots again soon after a reset, and counts no runs that were cut off where no server resets", func() {
	b := newHarness(ibisadmit.Config{Algorithm: ibisadmit.AlgorithmFixed})
	cutOff := func() {
		id := b.arrive("", ibisid.ClassName("job"), 0)
		b.now = b.now.Add(time.Millisecond)
		b.update(ibisadmit.FinishEvent{ID: id, CutOff: true})
	}
	for range 20 {
		cutOff()
	}
	b.admitted = nil
	for range 12 {
		b.arrive("", ibisid.ClassName("job"), 0)
	}
	Expect(b.admitted).To(HaveLen(10))
	b.update(ibisadmit.ResetEvent{})
	b.finish(0, false)
	Expect(b.admitted).To(HaveLen(9), "no request follows the one whose connection was reset")
	b.now = b.now.Add(2 * time.Second)
	b.update(ibisadmit.TickEvent{})
	Expect(b.Running()).To(Equal(10))
})
