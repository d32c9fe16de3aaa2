package ibislink

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle and keepAliveProbes find a connection that went silent within 3 seconds.
	keepAliveIdle   = time.Second
	keepAliveProbes = 2
	// unackedTimeout is how long written bytes may stay unacknowledged before the connection is given up.
	unackedTimeout = 2500 * time.Millisecond
)

// Dialer returns a dialer whose connections notice within seconds that their peer has gone silent.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var failed error
			err := raw.Control(func(fd uintptr) {
				failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return failed
		},
	}
}

// KeepAlive returns the keep-alive probes of every connection, dialled or accepted.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveIdle,
		Count:    keepAliveProbes,
	}
}
