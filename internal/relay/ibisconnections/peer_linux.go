package ibisconnections

import "golang.org/x/sys/unix"

// hasPeerClosed reports whether the socket has received the end of the stream.
func hasPeerClosed(fd uintptr) bool {
	state := []unix.PollFd{{
		Fd:     int32(fd),
		Events: unix.POLLRDHUP,
	}}
	n, err := unix.Poll(state, 0)
	return err == nil && n > 0
}
