// Package ibisstore names what the relay asks of the platform's metadata store: rows, atomic commits and a feed of changes.
//
// The client is in the folder platform. A commit without an answer may take effect seconds later, as long as its
// conditions hold; whoever sends one keeps that in mind until a newer version of a conditioned row was seen.
package ibisstore
