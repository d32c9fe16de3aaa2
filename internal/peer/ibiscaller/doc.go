// Package ibiscaller defines the HTTP interface for callers: the headers that they send, and the problem body of RFC 9457
// that they receive when a request is refused or fails.
package ibiscaller
