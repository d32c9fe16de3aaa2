// Package ibisapp stands in for backend servers of the users' platform: they send heartbeats to the node beside them,
// hold keys for as long as they were granted, run requests in a bounded number of slots, drain and end.
//
// Every server writes what it does to a Ledger, which knows the promises that only back ends can see: one holder a key,
// one run of what may run once, tokens that rise, no work past a drain.
package ibisapp
