// Package ibisoperator implements the HTTP interface of a node for operators: the request and answer types, the HTTP
// handler on top of Operations, and the Client that the command line uses.
package ibisoperator
