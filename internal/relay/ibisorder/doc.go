// Package ibisorder is a request on its way from the node that took it from a caller to the node beside the backend
// server that runs it, and the answer on its way back.
package ibisorder
