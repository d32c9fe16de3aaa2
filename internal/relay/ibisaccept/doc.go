// Package ibisaccept decides which callers' connections have been idle, or slow with a request's headers, for longer than
// the configuration in force allows.
//
// The HTTP server's own limits are fixed when it starts; these follow every change.
package ibisaccept
