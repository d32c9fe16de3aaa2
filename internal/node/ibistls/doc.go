// Package ibistls loads TLS key pairs for the listeners and peer connections of a node. It rejects invalid and expired
// pairs, and reloads replaced files without a restart.
//
// Nodes authenticate each other by mutual TLS: each presents a certificate for PeerName that chains to a common
// authority. Authority issues such certificates for tests and trials.
//
// Lock order: Reloader.mu is a leaf; connections read the current pair through an atomic pointer.
package ibistls
