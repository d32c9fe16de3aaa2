// Package ibisstore is the stand-in for the platform: a transactional table and an object store in memory, with faults on demand.
//
// Lock order: the store's lock is a leaf; it is never held while a fault delays an operation.
package ibisstore
