// Package ibismove implements the protocol for planned moves of slots and hot keys between live members, as a state
// machine without I/O: a caller passes in events and carries out the returned effects.
//
// A unit is a slot or a hot key. A transfer is the move of one unit to a target member. The owner runs one Batch for each
// page: it stops admitting requests for the units, waits until no request is running, hands its at-most-once memory (the
// record of executed requests) to the targets, commits the new owners and only then forwards the held requests to them.
// The target runs a Receiver.
//
// A commit whose outcome is unknown may still take effect, so the owner neither admits requests nor cancels until the row
// has a newer version. To cancel, it fences the commit by writing the unchanged page.
//
// The memory of a slot excludes the slot's hot keys that have an override, that is, an owner of their own.
package ibismove
