package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibiscoordinator"
)

type (
	// PageEvent is an input of a coordinator.
	PageEvent = ibiscoordinator.Event
	// PageTickEvent advances the time.
	PageTickEvent = ibiscoordinator.TickEvent
	// PageSpaceEvent reports that a space is in use; pages without a row are then created.
	PageSpaceEvent = ibiscoordinator.SpaceEvent
	// PageLiveEvent adds or replaces live members.
	PageLiveEvent = ibiscoordinator.LiveEvent
	// PageDiedEvent removes members whose death is committed.
	PageDiedEvent = ibiscoordinator.DiedEvent
	// PageLeftEvent removes members that left after handing over all their slots.
	PageLeftEvent = ibiscoordinator.LeftEvent
	// PageDomainEvent sets the maximum fraction of its weight that counts for each member of a failure domain; zero takes
	// the domain out of service.
	PageDomainEvent = ibiscoordinator.DomainEvent
	// PageReadEvent answers a PageReadEffect.
	PageReadEvent = ibiscoordinator.PageReadEvent
	// PageReceivedEvent carries a page that another member broadcast.
	PageReceivedEvent = ibiscoordinator.PageReceivedEvent
	// PageCommitResultEvent is the result of a PageCommitEffect.
	PageCommitResultEvent = ibiscoordinator.CommitResultEvent
	// PageCommitUnknownEvent reports that the answer to a PageCommitEffect was lost.
	PageCommitUnknownEvent = ibiscoordinator.CommitUnknownEvent
)
