// Package ibiswarden carries out what ibiskeep decides: it commits and reads at the store, and answers heartbeats and
// the guard's questions. It also writes the node's own row among the members.
//
// Lock order: Warden.mu is never held while the store is called.
package ibiswarden
