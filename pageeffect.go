package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
)

type (
	// PageEffect is an action that a coordinator requests; each read and commit is answered by exactly one event.
	PageEffect = ibiscoordinator.Effect
	// PageReadEffect requests a read of the row of a page.
	PageReadEffect = ibiscoordinator.ReadPageEffect
	// PageCommitEffect requests a commit of a page.
	PageCommitEffect = ibiscoordinator.CommitEffect
	// PageBroadcastEffect sends a committed page to all members.
	PageBroadcastEffect = ibiscoordinator.BroadcastPageEffect
	// PageMovesEffect requests that owners move slots to other members.
	PageMovesEffect = ibiscoordinator.MovesEffect
)
