// Package ibislink keeps HTTP/1.1 connections to one address and exchanges requests over them, one at a time each.
//
// Every request carries an id that its answer repeats. An answer with another id belongs to an exchange that ended
// earlier: it is skipped, never handed on, and its connection is closed afterwards. An exchange tells whether any byte
// of the request was written, so that "not run" can be said only where it is true.
package ibislink
