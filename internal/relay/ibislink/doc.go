// Package ibislink pools HTTP/1.1 connections to one address and exchanges requests over them, one at a time on each
// connection. The relay uses it to reach its backend server and other nodes.
//
// Where Options.IDHeader is set, a response must repeat the id of its request. A response with another id belongs to an
// earlier exchange: it is discarded, and its connection is closed after the current exchange. A request that fails before any
// byte was written fails with ErrNotSent; only such a request is certain not to have run.
package ibislink
