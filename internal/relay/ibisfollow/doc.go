// Package ibisfollow keeps a node up to date with a table of the store: one whole read, and from then on a feed of changes.
//
// A feed that the store can't continue is begun again with a whole read. Waits are short after a failure, since a store
// that fell silent may have lost the question.
package ibisfollow
