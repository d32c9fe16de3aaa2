// Package ibisrequestrouter is the HTTP request router of a node: it receives the requests of callers and those that other
// nodes forward, selects the node that must run each of them, and runs it here or forwards it there.
//
// Every node accepts every request. A request for a key goes to the key's owner, with at most one hop. A request to a
// service that is not divided by key goes to a node chosen for it; a non-idempotent one first goes to the owner of its
// Idempotency-Key, which stores the answer for repeats.
//
// A node has one of three roles in a request: the entry node receives it from the caller, the owner owns the slot of its
// key or Idempotency-Key, and the server node sends it to its own backend server. Only the entry node decides on retries
// and hedges. Every other node makes one attempt and returns its result, so that retries never multiply.
//
// Lock order: choosers.mu before chooser.mu. chooser.mu and retryPolicy.mu are leaves: no lock is acquired while one of
// them is held.
package ibisrequestrouter
