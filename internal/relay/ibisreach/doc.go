// Package ibisreach brings orders to nodes: to the own guard directly, to others over the network.
//
// A node that can't be reached gets no requests until a connection to it could be opened again, so that only probes,
// never requests, wait for it.
package ibisreach
