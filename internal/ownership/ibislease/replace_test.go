package ibislease

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

var _ = Describe("Holders that lose a witness at the same time", func() {
	const liveNodes = 17_000
	start := time.Unix(1_700_000_000, 0)

	// joined returns a joined holder with three witnesses, of which the given number answer, and three other candidates, which all
	// answer.
	joined := func(n, answering int) *Holder {
		h := NewHolder(DefaultTerms(), Row{
			Member: member("holder", n),
			Place:  ibisid.Place{Domain: "home"},
			State:  StateLive,
		})
		h.phase = phaseJoined
		h.committed = h.desired
		h.liveNodes = liveNodes
		for i := range WitnessCount {
			w := member("witness", i)
			h.committed.Witnesses = append(h.committed.Witnesses, w)
			if i < answering {
				h.ackedSent[w] = start
			}
			other := member("other", i)
			h.ackedSent[other] = start
			h.probedSince[w], h.probedSince[other] = start, start
			for _, m := range []ibisid.Member{w, other} {
				if m != w || i < answering {
					h.candidates = append(h.candidates, Candidate{
						Member: m,
						Place:  ibisid.Place{Domain: ibisid.DomainName(m.Name)},
					})
				}
			}
		}
		return h
	}

	commits := func(h *Holder, now time.Time) bool {
		for _, w := range append(h.candidates, Candidate{Member: member("other", 0)}) {
			h.ackedSent[w.Member] = now
		}
		return len(h.updateRow(now)) > 0
	}

	It("spread the replacements over time while two others renew the lease", func() {
		spread := liveNodes * replaceDelayPerNode
		perSecond := make(map[int]int)
		for n := range 400 {
			h := joined(n, WitnessCount-1)
			at := start
			for !commits(h, at) {
				at = at.Add(100 * time.Millisecond)
				Expect(at.Sub(start)).To(BeNumerically("<=", spread+time.Second))
			}
			perSecond[int(at.Sub(start).Seconds())]++
		}
		for _, n := range perSecond {
			Expect(n).To(BeNumerically("<=", 30), "commits of 400 holders in one second, which corresponds to 300 commits of 4,000 holders")
		}
	})

	It("commit at once if fewer than two others are left", func() {
		for n := range 50 {
			Expect(commits(joined(n, 1), start)).To(BeTrue())
		}
	})
})
