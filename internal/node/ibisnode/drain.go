package ibisnode

import (
	"context"
	"errors"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

var errNotJoined = errors.New("the node has not joined yet")

// Drain hands the node's slots over and returns when no request runs any more; the node keeps running without slots. It
// fails if the context ends first.
func (n *Node) Drain(ctx context.Context) error {
	n.stopping.Store(true)
	if c := n.components.Load(); c != nil {
		if err := c.manager.Drain(ctx); err != nil {
			return err
		}
	}
	return n.gate.Drain(ctx)
}

// DeclareDead declares a member dead without its witnesses, on the operator's assurance that its process has ended. It
// fails if this node has not joined, the member has no row, its rows change meanwhile or the table does not answer.
func (n *Node) DeclareDead(ctx context.Context, member ibisid.Member) error {
	c := n.components.Load()
	if c == nil {
		return errNotJoined
	}
	return c.manager.DeclareDead(ctx, member)
}
