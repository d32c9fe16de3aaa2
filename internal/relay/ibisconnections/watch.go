package ibisconnections

import "net"

// watch waits for the peer of a connection to close it.
type watch struct {
	conn   *conn
	closed func()
}

// OnPeerClosed calls the function once FindClosedPeers finds that the peer has closed the connection or its sending side, also if bytes
// before that are unread. The returned function ends the watch.
func (c *Connections) OnPeerClosed(nc net.Conn, closed func()) (stop func()) {
	tracked, ok := nc.(*conn)
	if !ok {
		return func() {}
	}
	w := &watch{
		conn:   tracked,
		closed: closed,
	}
	c.watchesMu.Lock()
	defer c.watchesMu.Unlock()
	c.watches.Add(w)
	return func() {
		c.watchesMu.Lock()
		defer c.watchesMu.Unlock()
		c.watches.Remove(w)
	}
}

// FindClosedPeers calls the functions of the watched connections whose peers have closed them.
func (c *Connections) FindClosedPeers() {
	var found []*watch
	c.watchesMu.Lock()
	for w := range c.watches {
		if w.conn.HasPeerClosed() {
			found = append(found, w)
			c.watches.Remove(w)
		}
	}
	c.watchesMu.Unlock()
	for _, w := range found {
		w.closed()
	}
}
