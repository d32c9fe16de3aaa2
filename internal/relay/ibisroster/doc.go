// Package ibisroster is what a node knows of the other nodes and of the backend servers beside them.
//
// Each node writes one row about itself; the Roster takes rows in as they change. A row that can't be read names no
// backend server and changes nothing.
package ibisroster
