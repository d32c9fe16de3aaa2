package ibiskeep

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Standing says where a key stands from this node's view.
type Standing string

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
