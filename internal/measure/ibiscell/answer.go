package ibiscell

import (
	"encoding/json"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
)

// final reads the answer, and the owner that a refusal names.
func (r *recorder) final() (final, ibisid.Member) {
	outcome := ibisid.Outcome(r.header.Get(ibiscaller.HeaderOutcome))
	if outcome == "" {
		outcome = ibisid.OutcomeDone
	}
	f := final{
		outcome: outcome,
		body:    string(r.body),
	}
	var refusal ibiscaller.Refusal
	if outcome != ibisid.OutcomeDone && json.Unmarshal(r.body, &refusal) == nil {
		f.body = refusal.Code
		return f, refusal.Owner
	}
	return f, ibisid.Member{}
}

// answered takes the caller's answer; a caller that hears "not run" sends the same again.
func (w *world) answered(s *sending, f final) {
	o := s.order
	o.finals = append(o.finals, f)
	w.checkFinal(s, f)
	if f.outcome != ibisid.OutcomeNotRun || len(o.finals) > maxRepeats {
		return
	}
	w.after(askAgain, func() { w.placeAnywhere(o) })
}

// maxRepeats is how often a caller sends an order again.
const maxRepeats = 30

func (w *world) placeAnywhere(o *order) {
	entryNodes := w.entryNodes(o)
	if len(entryNodes) == 0 {
		w.after(askAgain, func() { w.placeAnywhere(o) })
		return
	}
	w.place(o, entryNodes[w.random.IntN(len(entryNodes))])
}
