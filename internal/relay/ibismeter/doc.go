// Package ibismeter counts what a node does, for its metrics address: requests by class and outcome, waiting and answer
// times by class, the gate, ownership and the store.
package ibismeter
