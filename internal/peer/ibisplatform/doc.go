// Package ibisplatform defines the interfaces of the transactional table and the object store that a node uses, and
// determines the outcome of commits whose answer was lost.
//
// The package in the folder platform implements both interfaces on the platform's metadata store.
//
// Every commit carries a unique ID that the table stores in each row it writes. If the answer to a commit is lost, its
// outcome is determined by reading these rows back and is never guessed.
package ibisplatform
