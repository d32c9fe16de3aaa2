// Package ibisrun runs the relay's node as a process: it reads the settings, sets up the log and handles signals.
//
// It is separate from the command line of ibisridge so that ibisrelay, the program beside each backend server, does not
// contain the code for measurements and plots, which would take memory there.
package ibisrun
