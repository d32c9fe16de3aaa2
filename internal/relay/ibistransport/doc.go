// Package ibistransport sends orders to nodes: to the guard of the own node directly, to other nodes over the network.
//
// A node that is unreachable gets no requests until a connection to it succeeds. Only probes open this connection, so that
// requests never wait for it.
package ibistransport
