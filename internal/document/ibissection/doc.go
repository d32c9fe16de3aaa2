// Package ibissection stores the operators' document, which is divided into sections, in the platform's table and object
// store. Nodes load the document through it; the operator API uses it to change sections, to list revisions and to undo them.
//
// Each section is a row, a small head row holds the current version, and an index row lists the version of every section. A
// change is one commit over these rows, conditional on the head. The record of the change is put into the object store before
// the commit, so that every committed revision has its record. Records form a chain: each names its parent, and the head
// names the last. If the answer to a commit is lost, the chain shows whether the commit took effect.
//
// The plan of a change is computed without side effects; Store reads, puts and commits. Lock order: no other lock is
// acquired while Store's lock is held.
package ibissection
