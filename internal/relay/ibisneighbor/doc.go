// Package ibisneighbor gives nodes access to the platform's metadata store through each other.
//
// One node of each failure domain reads changes from the store and passes them on to the other nodes of its domain, its
// neighbors, so that the number of calls to the store grows with the number of failure domains and not with that of nodes.
// Every node keeps a Copy of the table, from which Handler answers neighbors. A Store asks a neighbor for changes first and
// falls back to the platform's store if the neighbor doesn't answer, lacks the requested changes or can't reach the
// store itself.
//
// A Publisher sends the changes of a Copy to the nodes that subscribe to it, unasked for and compressed. A Subscriber offers what it
// gets so to a follower that also reads from the store itself. The table whose changes must be in force within seconds is
// followed both ways: the store sends each row whole, which takes seconds on a link that callers' bodies fill.
//
// While the store rejects the calls of one node, a FallbackStore makes that node's commits and reads through other nodes;
// FallbackHandler is the server side of it.
//
// A copy may be out of date: a commit that depends on it carries conditions, which the store checks.
package ibisneighbor
