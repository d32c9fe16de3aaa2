package ibisrange

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Standing is the state of a key as seen by this node.
type Standing string

const (
	// StandingHeld means that the own backend server holds the key.
	StandingHeld Standing = "held"
	// StandingComing means that the own backend server owns the key but has no valid grant of it yet.
	StandingComing Standing = "coming"
	// StandingElsewhere means that another node owns the key.
	StandingElsewhere Standing = "elsewhere"
	// StandingNowhere means that no backend server can serve the key at present.
	StandingNowhere Standing = "nowhere"
)

// KeyState returns the state of the key and the node that owns it or is planned to own it, empty if no range contains it.
func (k *Keeper) KeyState(key int, now time.Time) (Standing, ibisid.NodeName) {
	r, ok := k.page.Find(key)
	if !ok {
		return StandingNowhere, ""
	}
	if r.Owner.Node != k.config.Node {
		return StandingElsewhere, r.Owner.Node
	}
	if now.Before(k.server.grantedUntil) && k.server.wasGranted(key) && k.grantable(r) {
		return StandingHeld, r.Owner.Node
	}
	if r.Next != "" || k.server.leaving || k.server.ended {
		return StandingNowhere, r.plannedNode()
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
