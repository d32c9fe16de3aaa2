// Package ibisroute contains the routing configuration in force: the service of each request, and the limits on requests.
//
// A Config is immutable; a change is a new Config with a greater version. A Splitter distributes the requests of one route
// over the services of a weighted split.
package ibisroute
