// Package reviewcase runs the cases of the review that no day of the bench can show. Each case starts nodes of the relay as
// separate processes on loopback addresses, with stand-ins for the store, the backend servers and the callers.
//
// The package consists of tests: build.sh compiles them into one program, which the run.sh of each case starts.
package reviewcase
