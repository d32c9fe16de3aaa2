// Package ibismatrix brings every fault about at every step of an order, over real sockets in one process, and checks what
// must always hold: an order runs at most once, "not run" is true, an answer is whole, and a repeat does not run it again.
package ibismatrix
