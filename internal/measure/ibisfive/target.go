package ibisfive

// target is a bound that the project states for itself.
type target struct {
	// event is the case.
	event string
	// figure is the figure of the case.
	figure string
	// most is the greatest value that meets the target.
	most float64
}

// targets are the stated bounds on the project's own policy, whatever was measured.
var targets = []target{
	{
		event:  caseReassigned,
		figure: figureSlots,
		most:   1.1,
	},
	{
		event:  caseNodeLost,
		figure: figureMax,
		most:   5,
	},
	{
		event:  caseDomainLost,
		figure: figureMax,
		most:   5,
	},
	{
		event:  casePlannedStop,
		figure: figureMax,
		most:   3,
	},
	{
		event:  caseOutAndBack,
		figure: figureHeld,
		most:   3,
	},
	{
		event:  caseOutAndBack,
		figure: figureLastWork,
		most:   3,
	},
	{
		event:  caseStragglers,
		figure: figureRatio,
		most:   1.5,
	},
}

const (
	caseReassigned  = "10 losses and joins"
	caseNodeLost    = "node lost"
	caseUnchecked   = "node lost, grants unchecked"
	caseDomainLost  = "domain lost"
	casePlannedStop = "planned stop"
	caseOutAndBack  = "out and back"
	caseStragglers  = "stragglers"

	figureSlots    = "slots, max/mean"
	figureMax      = "max, s"
	figureHeld     = "longest held, s"
	figureLastWork = "last work, s"
	figureRatio    = "p99 over steady"
	figureServed   = "served, share"
)

// aim sets the row's target, if one is stated.
func (r *Row) aim() {
	for _, t := range targets {
		if t.event == r.Case && t.figure == r.Figure {
			r.Target = t.most
			r.Missed = r.Values[PolicyOurs].Worst > t.most
		}
	}
}
