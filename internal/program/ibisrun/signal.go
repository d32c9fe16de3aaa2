package ibisrun

import (
	"os"
	"os/signal"
	"syscall"
)

// Hangups returns the SIGHUPs of the process from now on; one that arrives while another is handled is kept. It also ignores
// SIGPIPE, which the Go runtime raises once the reader of the log is gone.
//
// Both hold until the process exits, since the default action of either signal would cut a graceful stop short.
func Hangups() <-chan os.Signal {
	signal.Ignore(syscall.SIGPIPE)
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	return hangups
}
