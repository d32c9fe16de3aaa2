package ibisrange

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// KeyState is the state of a key as seen by this node.
type KeyState string

const (
	// KeyStateHeld means that the own backend server holds the key.
	KeyStateHeld KeyState = "held"
	// KeyStatePending means that the own backend server owns the key but has no valid grant of it yet.
	KeyStatePending KeyState = "coming"
	// KeyStateElsewhere means that another node owns the key.
	KeyStateElsewhere KeyState = "elsewhere"
	// KeyStateUnavailable means that no backend server can serve the key at present.
	KeyStateUnavailable KeyState = "nowhere"
)

// StateOfKey returns the state of the key and the node that owns it or is planned to own it, empty if no range contains it.
func (m *Manager) StateOfKey(key int, now time.Time) (KeyState, ibisid.NodeName) {
	r, ok := m.page.Find(key)
	if !ok {
		return KeyStateUnavailable, ""
	}
	if r.Owner.Node != m.config.Node {
		return KeyStateElsewhere, r.Owner.Node
	}
	if m.server.wasGranted(key, now) && m.grantable(r, now) {
		return KeyStateHeld, r.Owner.Node
	}
	if r.Next != "" || m.server.draining || m.server.ended {
		return KeyStateUnavailable, r.plannedNode()
	}
	return KeyStatePending, r.Owner.Node
}

// wasGranted reports whether a confirmed grant of the key has not ended.
func (s *server) wasGranted(key int, now time.Time) bool {
	for _, g := range s.grants {
		if g.From <= key && key <= g.To && !g.unconfirmed && now.Before(g.until) {
			return true
		}
	}
	return false
}
