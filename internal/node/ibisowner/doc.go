// Package ibisowner decides which slots and hot keys this node owns. It keeps the node's lease, renews the leases of
// other members as their witness, declares members dead, coordinates page rows, takes slots over from dead owners and
// moves slots between live ones. It drives the state machines of the packages under internal/ownership, which do no
// I/O. The request path asks it who owns a key and for a Permit to run a request.
//
// The main terms: a slot space divides the keys of a service into slots; a page is the table row with the owners of
// consecutive slots; an incarnation is one membership of a node, from its join to its death; a lease is the time for
// which a member may run requests of its slots; a witness is a member that renews another member's lease; a claimant is
// a member that declares a suspect dead; a fencing token grows with each change of an owner; a hot key is a key with an
// owner of its own, an override in the page; a unit is a slot or hot key that moves.
//
// Manager.mu, the control lock, serializes the state machines. Their table and network operations run as tasks without the lock, and each
// result is applied as an event under the lock. A result that belongs to an earlier incarnation is dropped.
//
// Requests don't take Manager.mu: Owner reads the routes, AcquirePermit the holdings, and Permit.Check compares the clock with
// the end of the lease, which is published before the effects of every event start.
//
// Lock order: Manager.mu, then one of routes.mu, holdings.mu, hints.mu, handOvers.mu, the lock of the at-most-once
// memory or that of the gate. No lock is held while rows are published, because subscribers take Manager.mu.
package ibisowner
