// Package ibisstore defines the interface of the platform's metadata store as the relay uses it: versioned rows, atomic
// conditional commits and a feed of changes.
//
// The client is platform.StoreClient. A commit whose answer is lost (OutcomeUnknown) may take effect seconds later, as long
// as its conditions hold: its caller must allow for both results until it has seen a newer version of a conditioned row.
package ibisstore
