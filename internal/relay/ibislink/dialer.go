package ibislink

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// keepAliveIdle is the idle time before the first probe and the interval between probes; with keepAliveProbes it detects
	// within 3 s that a peer no longer responds.
	keepAliveIdle   = time.Second
	keepAliveProbes = 2
	// unackedTimeout is how long written bytes may stay unacknowledged before the kernel closes the connection.
	unackedTimeout = 2500 * time.Millisecond
)

// Dialer returns a dialer whose connections fail within 3 s after the peer stops responding. The timeout limits dialling.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{
		Timeout:         timeout,
		KeepAliveConfig: KeepAlive(),
		Control: func(_, _ string, raw syscall.RawConn) error {
			var optionErr error
			err := raw.Control(func(fd uintptr) {
				optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return optionErr
		},
	}
}

// KeepAlive returns the TCP keep-alive settings of all connections, dialled and accepted.
func KeepAlive() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable:   true,
		Idle:     keepAliveIdle,
		Interval: keepAliveIdle,
		Count:    keepAliveProbes,
	}
}
