package ibistcp

import "net"

// FreeAddress returns an address on the loopback host whose port nobody listens on; it fails if the host has none.
func FreeAddress(host string) (string, error) {
	listener, err := net.Listen("tcp4", net.JoinHostPort(host, "0"))
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}
