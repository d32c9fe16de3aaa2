// Package ibisneighbor lets one node of each failure domain ask the platform's store for changes and pass them on to the
// others, so that the calls to the store grow with the failure domains and not with the nodes.
//
// Every node keeps a Copy of the table, from which it answers its neighbors. A Store asks a neighbor in place of the
// platform's store, which it falls back to whenever the neighbor doesn't answer, lags or has lost the store itself.
// Nothing is decided from a copy that the store's conditions wouldn't check again.
package ibisneighbor
