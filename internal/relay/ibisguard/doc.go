// Package ibisguard stands before the backend server of its own instance: every request to that server passes it.
//
// It knows exactly what runs and waits there, so it alone decides what is admitted; whoever sends a request only guesses.
// The decisions are those of ibisadmit and ibiskeep; this package carries them out.
//
// Lock order: Guard.mu is taken last and never held while something is sent.
package ibisguard
