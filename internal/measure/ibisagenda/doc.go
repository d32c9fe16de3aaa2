// Package ibisagenda runs functions in order of fake time, in one goroutine.
package ibisagenda
