// Package ibisroute is the routing configuration in force: which requests go to which service, within which limits.
//
// A Config is immutable once compiled; a change is a new Config with a greater version. A Splitter deals the requests of
// one route to the services of a weighted split.
package ibisroute
