// Package ibisembed runs a whole small system in one process: the platform stand-in, nodes in several failure domains
// and a stand-in backend server beside each, all over loopback sockets.
package ibisembed
