// Package ibisstatus defines the status report of a relay node, the handler that serves it as JSON beside the node's metrics,
// and the client with which operators' tools read it.
package ibisstatus
