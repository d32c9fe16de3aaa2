package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibispage"
)

type (
	// PageEffect is an action that a coordinator requests; each read and commit is answered by exactly one event.
	PageEffect = ibispage.Effect
	// PageReadEffect asks for the row of a page.
	PageReadEffect = ibispage.ReadPageEffect
	// PageCommitEffect asks for a commit of a page.
	PageCommitEffect = ibispage.CommitEffect
	// PageBroadcastEffect sends a committed page to all members.
	PageBroadcastEffect = ibispage.BroadcastPageEffect
	// PageMovesEffect asks owners to move slots.
	PageMovesEffect = ibispage.MovesEffect
)
