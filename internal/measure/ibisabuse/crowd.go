package ibisabuse

import (
	"bufio"
	"context"
	"net"
	"sync"
	"time"
)

const (
	// receiveBytes is the size of the receive buffer of a client, which reads nothing.
	receiveBytes = 4096
	// redialInterval is the time between two tries to connect.
	redialInterval = 20 * time.Millisecond
)

// Target is a port to misbehave at.
type Target struct {
	// Name is the port's name.
	Name string
	// Address is the port's address.
	Address string
	// Head holds what a request there begins with.
	Head Head
}

// Crowd is a number of clients that keep their connections.
type Crowd struct {
	cancel  context.CancelFunc
	clients sync.WaitGroup
	sending sync.WaitGroup
}

// Start connects n clients from the local address. Client i behaves as kinds[i%len(kinds)] at targets[i/len(kinds)%len(targets)].
func Start(local string, n int, targets []Target, kinds []Kind) *Crowd {
	ctx, cancel := context.WithCancel(context.Background())
	c := &Crowd{
		cancel: cancel,
	}
	dialer := net.Dialer{
		LocalAddr: &net.TCPAddr{
			IP: net.ParseIP(local),
		},
	}
	for i := range n {
		c.sending.Add(1)
		sent := sync.OnceFunc(c.sending.Done)
		c.clients.Go(func() {
			defer sent()
			run(ctx, dialer, targets[i/len(kinds)%len(targets)], kinds[i%len(kinds)], sent)
		})
	}
	return c
}

// AwaitSent waits until all clients have sent what they have, or the time has passed: some never end.
func (c *Crowd) AwaitSent(limit time.Duration) {
	done := make(chan struct{})
	go func() {
		c.sending.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(limit):
	}
}

// End closes the connections.
func (c *Crowd) End() {
	c.cancel()
	c.clients.Wait()
}

// run connects one client, has it misbehave, and keeps its connection until the context ends.
func run(ctx context.Context, dialer net.Dialer, target Target, kind Kind, sent func()) {
	for ctx.Err() == nil {
		conn, err := dialer.DialContext(ctx, "tcp4", target.Address)
		if err != nil {
			time.Sleep(redialInterval)
			continue
		}
		_ = conn.(*net.TCPConn).SetReadBuffer(receiveBytes)
		stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
		writer := bufio.NewWriter(conn)
		kind.send(sender{
			Writer: writer,
			conn:   conn,
			head:   target.Head,
		})
		_ = writer.Flush()
		sent()
		<-ctx.Done()
		stop()
		_ = conn.Close()
	}
}
