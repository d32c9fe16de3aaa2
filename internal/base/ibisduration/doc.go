// Package ibisduration provides a time.Duration that JSON, flags and environment variables represent as text.
package ibisduration
