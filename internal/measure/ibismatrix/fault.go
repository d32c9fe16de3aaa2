package ibismatrix

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/program/ibisembed"
	"github.com/ibisridge/ibisridge/internal/standin/ibisrowstore"
	"github.com/ibisridge/ibisridge/internal/standin/ibisserver"
)

const (
	serviceTime    = 150 * time.Millisecond
	slowPlatform   = 300 * time.Millisecond
	coldStart      = 2 * time.Second
	straggleTime   = time.Second
	straggleFactor = 10
	lostAnswers    = 5
	limitedRate    = 1
	brokenAnswers  = 1
)

// fault is something that goes wrong around the owner of a key, and its end.
type fault struct {
	name string
	// begin brings the fault about.
	begin func(s *ibisembed.System, owner *ibisembed.Pair)
	// end lifts what can be lifted.
	end func(s *ibisembed.System, owner *ibisembed.Pair)
}

// none is the end of a fault that can't be lifted or ends by itself.
func none(*ibisembed.System, *ibisembed.Pair) {}

func platformFault(name string, faults ibisrowstore.Faults) fault {
	return fault{
		name:  name,
		begin: func(s *ibisembed.System, _ *ibisembed.Pair) { s.Store().Inject(faults) },
		end:   func(s *ibisembed.System, _ *ibisembed.Pair) { s.Store().Clear() },
	}
}

func serverFault(name string, faults ibisserver.Faults) fault {
	return fault{
		name:  name,
		begin: func(_ *ibisembed.System, owner *ibisembed.Pair) { owner.Server.SetFaults(faults) },
		end:   func(_ *ibisembed.System, owner *ibisembed.Pair) { owner.Server.SetFaults(ibisserver.Faults{}) },
	}
}

func ownerFault(name string, begin, end func(owner *ibisembed.Pair)) fault {
	f := fault{
		name:  name,
		begin: func(_ *ibisembed.System, owner *ibisembed.Pair) { begin(owner) },
		end:   none,
	}
	if end != nil {
		f.end = func(_ *ibisembed.System, owner *ibisembed.Pair) { end(owner) }
	}
	return f
}

// faults lists every fault, in the order of the table.
func faults() []fault {
	return []fault{
		{
			name:  "nothing",
			begin: none,
			end:   none,
		},
		platformFault("platformDown", ibisrowstore.Faults{
			Down: ibisrowstore.DownBusy,
		}),
		platformFault("platformSlow", ibisrowstore.Faults{
			Delay: slowPlatform,
		}),
		platformFault("platformLimited", ibisrowstore.Faults{
			CallsPerSecond: limitedRate,
		}),
		platformFault("platformLosesAnswers", ibisrowstore.Faults{
			Lost:  1,
			Count: lostAnswers,
		}),
		serverFault("connectionCutBeforeRun", ibisserver.Faults{
			DropBefore: brokenAnswers,
		}),
		serverFault("connectionCutAfterRun", ibisserver.Faults{
			DropAfter: brokenAnswers,
		}),
		serverFault("answerCutShort", ibisserver.Faults{
			Truncate: brokenAnswers,
		}),
		serverFault("runFails", ibisserver.Faults{
			Fail: brokenAnswers,
		}),
		serverFault("reportsMislead", ibisserver.Faults{
			StaleLoad:   true,
			FalseHealth: true,
		}),
		ownerFault("serverKilled", func(p *ibisembed.Pair) { _ = p.Server.Kill() }, nil),
		ownerFault("serverFrozen", func(p *ibisembed.Pair) { p.Server.Freeze() }, func(p *ibisembed.Pair) { p.Server.Thaw() }),
		ownerFault("serverCold", func(p *ibisembed.Pair) { p.Server.TurnCold() }, nil),
		ownerFault("serverStraggles", func(p *ibisembed.Pair) { p.Server.Straggle(straggleTime, straggleFactor) }, nil),
		ownerFault("ownerStopped", func(p *ibisembed.Pair) { go func() { _ = p.Stop() }() }, nil),
	}
}
