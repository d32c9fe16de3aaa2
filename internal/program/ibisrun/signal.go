package ibisrun

import (
	"os"
	"os/signal"
	"syscall"
)

// Reloads returns the SIGHUPs of the process from now on; one that arrives while another is handled is kept.
//
// They are handled until the process exits, since the default action of SIGHUP would cut a graceful stop short.
func Reloads() <-chan os.Signal {
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	return reloads
}
