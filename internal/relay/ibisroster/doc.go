// Package ibisroster holds what a node has read from the metadata store about the nodes of the deployment and the backend
// server beside each of them.
//
// Each node writes one row, a Member, about itself. A Roster applies these rows by version as they change; the dispatcher
// picks the target of a request from it. DecodeMember fails on a malformed row, which then adds no backend server.
package ibisroster
