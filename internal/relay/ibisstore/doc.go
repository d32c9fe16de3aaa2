// Package ibisstore defines the interface of the platform's metadata store as the relay uses it: versioned rows, atomic
// conditional commits and a feed of changes.
//
// The client is platform.StoreClient. A commit whose answer is lost (OutcomeUnknown) may take effect seconds later, as long
// as its conditions hold: the node that sent it must allow for both results until it has read a newer version of a row that
// the conditions name.
package ibisstore
