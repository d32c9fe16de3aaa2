// Package ibisidempotencydriver holds the at-most-once memory of a node: the record of non-idempotent requests by which the owner of
// a slot runs each of them at most once.
//
// It serializes calls to the decision core ibisidempotency.Memory, and writes claims: rows of the platform's table that are
// committed before a recorded request runs. The owner of slots (ibisowner) and the request path (ibisrequestrouter) use it.
//
// Lock order: Memory.mu is a leaf; functions passed to Use must not call back into the package.
package ibisidempotencydriver
