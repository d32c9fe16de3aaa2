// Package ibisquarantine decides which requests are not run any more because backend servers end while they run them.
//
// All requests that a server runs when it ends are suspects, most of them without fault. A request is identified by its
// Fingerprint, since callers repeat it under other ids and at other nodes. It is blocked once several incarnations of servers have
// ended under it, unless a server has run it to an answer since then.
//
// A Ledger does no I/O: Update takes an event and the time and returns effects. Nodes share the events through the store.
package ibisquarantine
