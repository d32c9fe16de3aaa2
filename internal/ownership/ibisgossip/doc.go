// Package ibisgossip replicates coordination rows to all nodes by gossip: each node keeps copies and sends newer versions to
// its neighbours. It does no I/O: a caller passes in events and carries out the returned effects.
//
// A small row is pushed; a larger one is offered by its head (key and version) and sent on request. Every few
// seconds a node exchanges a digest (hashes of the buckets of its view) with a neighbour, which repairs lost messages.
// A row with homes, the regions in which it may be kept, is sent only to nodes in these regions.
//
// A copy may be out of date. Every decision that relies on one is checked by the conditions of its commit.
package ibisgossip
