// Package ibiscoordinator decides how coordinators write pages, the table rows that hold the owners of the slots of a space. It
// does no I/O: a caller passes in events and carries out the returned effects.
//
// A coordinator replaces dead owners by one rate-limited, conditional commit for each page, creates the pages of new spaces,
// and requests moves when loads are outside their bounds. Each member runs a Coordinator.
//
// The coordinators of a page are the two live members that rank highest by rendezvous hashing; the second acts after a
// delay. Members need not agree on them, since each commit is conditional on the version of the page.
package ibiscoordinator
