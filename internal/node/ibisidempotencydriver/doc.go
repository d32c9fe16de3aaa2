// Package ibisidempotencydriver holds the at-most-once memory of a node: the record of non-idempotent requests by which the
// owner of a slot runs each of them at most once.
//
// It drives the decision core ibisidempotency.Memory, which has no lock, clock or table access of its own: it serializes the
// calls to it, passes the time, and writes claims, which are rows of the platform's table that are committed before a
// recorded request runs. The owner of slots (ibisowner) and the request router (ibisrequestrouter) use it.
//
// Lock order: Memory.mu is a leaf; functions passed to Memory.WithCore must not call back into the package.
package ibisidempotencydriver
