// Package ibisrun runs the relay's node as a process: settings, log, signals.
//
// It stands apart from the command line of ibisridge so that the program which runs beside each backend server holds
// nothing else; what measures and plots would cost memory there.
package ibisrun
