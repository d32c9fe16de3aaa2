// Package ibisstore defines the interface of the platform's metadata store as the relay uses it: versioned rows, atomic
// conditional commits and a feed of changes.
//
// The client is platform.StoreClient. A commit whose answer is lost (OutcomeUnknown) may take effect seconds later, as long
// as its conditions hold: the node that sent it must allow for both results until it has read a newer version of a row that
// the conditions name.
//
// The store may come back from an older copy of its data, which begins a new era: what was written in the seconds before is
// gone, and numbers of versions are given out again. A version therefore contains the era in which it was read, so that it
// is greater than every version of an earlier era.
package ibisstore
