// Package ibisneighbor lets nodes reach the platform's store through each other: one node of each failure domain asks for
// changes and passes them on, so that the calls to the store grow with the failure domains and not with the nodes, and a node
// that the store turns away has its calls made by others.
//
// Every node keeps a Copy of the table, from which it answers its neighbors. A Store asks a neighbor in place of the
// platform's store, which it falls back to whenever the neighbor doesn't answer, lags or has lost the store itself.
// A Detour makes a node's commits and reads through any other node while the store turns this one away; DetourHandler is
// the other side of it.
//
// Nothing is decided from a copy that the store's conditions wouldn't check again.
package ibisneighbor
