// Package ibiscli is the command line: each command is a file of its own, parsed by go-arg and run without global state.
package ibiscli
