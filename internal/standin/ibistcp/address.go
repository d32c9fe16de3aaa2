package ibistcp

import (
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
)

const (
	// firstPort and ports are the range of the ports, below those that the system gives to connections and to listeners without a port.
	firstPort = 10_000
	ports     = 20_000
	// maxTries is how many ports are tried.
	maxTries = 1000
)

// reserved holds a datagram socket on the port of each address, which keeps other processes and later calls from choosing it.
var reserved struct {
	mu      sync.Mutex
	sockets []net.PacketConn
}

// FreeAddress returns an address on the loopback host whose port nobody listens on. No other call returns it while this process runs, in
// this process or another. It fails if the host has none.
func FreeAddress(host string) (string, error) {
	var err error
	for range maxTries {
		address := net.JoinHostPort(host, strconv.Itoa(firstPort+rand.IntN(ports)))
		if err = reserve(address); err == nil {
			return address, nil
		}
	}
	return "", fmt.Errorf("no free port on %s in %d tries, at last: %w", host, maxTries, err)
}

// reserve reserves an address; it fails if the address is reserved or in use.
func reserve(address string) error {
	socket, err := net.ListenPacket("udp4", address)
	if err != nil {
		return err
	}
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		_ = socket.Close()
		return err
	}
	reserved.mu.Lock()
	defer reserved.mu.Unlock()
	reserved.sockets = append(reserved.sockets, socket)
	return listener.Close()
}
