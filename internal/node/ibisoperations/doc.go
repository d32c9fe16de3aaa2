// Package ibisoperations implements the operator interface of one node (ibisoperator.Operations).
//
// It reads and changes the configuration document, explains the placement of a key, reports the status of the system,
// drains the node and declares ended members dead. ibisnode serves it on the operators' listener. Every operation
// requires the token of a team of the document.
package ibisoperations
