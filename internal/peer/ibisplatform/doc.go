// Package ibisplatform names what a node asks of a transactional table and an object store, and settles lost answers.
//
// The folder platform keeps both in the platform's metadata store.
//
// Every commit carries a unique id that the platform keeps in each row it writes, so that a commit whose answer was
// lost is settled by reading a row back and never by guessing.
package ibisplatform
