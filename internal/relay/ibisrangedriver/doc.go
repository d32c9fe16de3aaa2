// Package ibisrangedriver does the I/O for the ownership decisions of package ibisrange.
//
// A Driver runs one Manager: it passes events and ticks to it, sends its commits and reads to the store, returns grants as
// the answers to heartbeats or has a Caller make its calls, and reports the state of keys for admission. A Registrar keeps
// the node's own row among the members up to date.
//
// Locking: Driver.mu and Registrar.mu are never held while the store is called.
package ibisrangedriver
