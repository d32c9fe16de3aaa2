package ibiskeep

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Standing says where a key stands from this node's view.
type Standing string

const (
	// StandingHeld means that the own backend server holds the key.
	StandingHeld Standing = "held"
	// StandingComing means that the own backend server owns the key and has not been granted it yet.
	StandingComing Standing = "coming"
	// StandingElsewhere means that another node owns the key.
	StandingElsewhere Standing = "elsewhere"
	// StandingNowhere means that nobody can serve the key at present.
	StandingNowhere Standing = "nowhere"
)

// Stand returns where the key stands and the node that owns it.
func (k *Keeper) Stand(key int, now time.Time) (Standing, ibisid.NodeName) {
	r, ok := k.page.Find(key)
	if !ok {
		return StandingNowhere, ""
	}
	if r.Owner.Node != k.config.Node {
		return StandingElsewhere, r.Owner.Node
	}
	if now.Before(k.server.grantUntil) && k.server.wasGranted(key) && k.grantable(r) {
		return StandingHeld, r.Owner.Node
	}
	if r.Next != "" || k.server.leaving || k.server.ended {
		return StandingNowhere, r.heir()
	}
	return StandingComing, r.Owner.Node
}

func (s *server) wasGranted(key int) bool {
	for _, g := range s.grants {
		if g.From <= key && key <= g.To {
			return true
		}
	}
	return false
}
