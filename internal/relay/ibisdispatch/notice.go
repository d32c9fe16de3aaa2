package ibisdispatch

import (
	"maps"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibismessage"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
)

// maxNotices bounds the number of notices; beyond it, all earlier ones are forgotten.
const maxNotices = 1024

// recordNotice keeps what a node's backend server says about itself. The node forgets it when it restarts, so every order to the
// node repeats it.
func (d *Dispatcher) recordNotice(node ibisid.NodeName, answer ibismessage.Answer) {
	notice, heard := answer.Notice.Get()
	if !heard {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if notice == d.notices[node] {
		return
	}
	if notice.IsEmpty() {
		delete(d.notices, node)
		return
	}
	if len(d.notices) >= maxNotices {
		clear(d.notices)
	}
	d.notices[node] = notice
	if notice.Leaving {
		d.refresh()
	}
}

// isLeaving reports whether the backend server of a member has said that it stops soon; d.mu is held.
func (d *Dispatcher) isLeaving(m ibisroster.Member) bool {
	notice := d.notices[m.Node]
	return notice.Leaving && notice.Server == m.Server.Incarnation
}

// notice returns what the backend server of a node last said about itself, empty if it is not known to have said anything.
func (d *Dispatcher) notice(node ibisid.NodeName) ibismessage.ServerNotice {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.notices[node]
}

// discardNotices discards the notices of backend servers that others have replaced; d.mu is held. A node that restarts is no member
// for a while.
func (d *Dispatcher) discardNotices() {
	maps.DeleteFunc(d.notices, func(node ibisid.NodeName, notice ibismessage.ServerNotice) bool {
		member, ok := d.roster.Member(node)
		return ok && member.Server.Incarnation != notice.Server
	})
}
