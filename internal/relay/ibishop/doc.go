// Package ibishop carries orders between nodes: HTTP/1.1 over kept connections, the order's particulars in one header.
//
// Cancelling closes the connection, which the other node sees at once; the time left travels as a span, since clocks of
// instances differ; an answer of a backend server goes through unchanged, one of the node itself is marked as such.
package ibishop
