package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibispage"
)

type (
	// PageEvent is an input of a coordinator.
	PageEvent = ibispage.Event
	// PageTickEvent advances the time.
	PageTickEvent = ibispage.TickEvent
	// PageSpaceEvent reports that a space is in use; pages without a row are then created.
	PageSpaceEvent = ibispage.SpaceEvent
	// PageLiveEvent adds or replaces live members.
	PageLiveEvent = ibispage.LiveEvent
	// PageDiedEvent removes members whose death is committed.
	PageDiedEvent = ibispage.DiedEvent
	// PageLeftEvent removes members that left after handing over all their slots.
	PageLeftEvent = ibispage.LeftEvent
	// PageDomainEvent sets the share of its weight that counts for each member of a domain, zero for a domain taken out.
	PageDomainEvent = ibispage.DomainEvent
	// PageReadEvent answers a PageReadEffect.
	PageReadEvent = ibispage.PageReadEvent
	// PageReceivedEvent carries a page that another member broadcast.
	PageReceivedEvent = ibispage.PageReceivedEvent
	// PageCommitResultEvent is the result of a PageCommitEffect.
	PageCommitResultEvent = ibispage.CommitResultEvent
	// PageCommitUnknownEvent reports that the answer to a PageCommitEffect is lost.
	PageCommitUnknownEvent = ibispage.CommitUnknownEvent
)
