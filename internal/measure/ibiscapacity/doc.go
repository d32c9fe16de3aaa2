// Package ibiscapacity measures what a node's control state costs as nodes grow: memory and processor time of the real
// runtime objects with the rows of many made-up members, bytes and processor time of control calls over loopback, and
// the memory of standing connections between nodes.
//
// These are slopes for docs/CAPACITY.md. They hang on the machine, so no test bounds them.
package ibiscapacity
