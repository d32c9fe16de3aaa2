// Package ibiscell brings every fault about at every step of every flow of a small system, on fake time and in one process,
// and checks after each step what must always hold.
//
// A cell is one flow, one of its steps and one fault, or two. Its world has the real ownership managers, at-most-once
// memories, owners' request handlers, gate, retry and choice cores, document cores and the document's store, over the stand-in platform; the
// messages between them, the backend servers and the callers are fakes in memory. One event runs at a time, and all chances
// come from the seed, so a cell has the same verdict on every run.
package ibiscell
