// Package ibisabuse imitates clients that misbehave: they hold the bytes and connections of a process for as long as it lets them.
// Its tests start the relay with little memory and few descriptors, send such a crowd to each of its ports, and check that the
// process keeps within both and goes on to serve.
package ibisabuse
