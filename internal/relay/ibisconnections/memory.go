package ibisconnections

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/ibisridge/ibisridge/internal/request/ibismemory"
)

const (
	// headAllowance is the cost of a head that an open connection pays for: an ordinary head costs less.
	headAllowance = 8 << 10
	// headStep is the least that a longer head holds at once.
	headStep = 16 << 10
	// headSlack is how far a head may exceed the limit before the connection is closed: up to there, the handler answers, which knows
	// the request. One read takes that much of what follows a head.
	headSlack = 2 * readAheadBytes
	// scanPause is the time between two searches for connections to close, where the first one found none.
	scanPause = 20 * time.Millisecond
	// crowdedShare is the share, one in so many, of a part's connections from which on sockets get small buffers. Below it the system
	// sizes them by the speed of the link, from 128 KiB on: 37 MB for callers of the smallest instances that are not read.
	crowdedShare = 8
	// crowdedReceiveBytes and crowdedSendBytes are the sizes of such buffers.
	crowdedReceiveBytes = 16 << 10
	crowdedSendBytes    = 32 << 10
)

// Refusal is why a connection was not accepted or was closed.
type Refusal string

const (
	// RefusalConnections means that no further connection fits.
	RefusalConnections Refusal = "connections"
	// RefusalHead means that a head was longer than the limit.
	RefusalHead Refusal = "head"
	// RefusalMemory means that a request did not fit into the memory.
	RefusalMemory Refusal = "memory"
	// RefusalRoom means that the connection was closed to make room for another one.
	RefusalRoom Refusal = "room"
	// RefusalProgress means that the client transferred too little.
	RefusalProgress Refusal = "progress"
)

// errHead reports a head that must not be read on. It looks to http.Server like the end of the connection.
var errHead = &net.OpError{
	Op:  "read",
	Err: errors.New("head exceeds a limit"),
}

// Memory shares a budget among the connections of several listeners; it is safe for concurrent use.
type Memory struct {
	mu     sync.Mutex
	limits ibismemory.Limits
	budget *ibismemory.Budget
}

// NewMemory returns a budget of which nothing is held.
func NewMemory(limits ibismemory.Limits) *Memory {
	return &Memory{
		limits: limits,
		budget: ibismemory.New(limits),
	}
}

// Used returns what a part holds.
func (m *Memory) Used(p ibismemory.Part) ibismemory.Amount {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Used(p)
}

func (m *Memory) hold(p ibismemory.Part, bytes int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.budget.Hold(p, bytes)
}

func (m *Memory) release(p ibismemory.Part, bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(p, bytes)
}

// PartMemory is the budget of one part, for bytes that belong to no connection in particular; it is safe for concurrent use.
type PartMemory struct {
	memory *Memory
	part   ibismemory.Part
}

// Of returns the budget of a part.
func (m *Memory) Of(p ibismemory.Part) PartMemory {
	return PartMemory{
		memory: m,
		part:   p,
	}
}

// Reserve counts bytes if they fit, and reports whether they do.
func (m PartMemory) Reserve(bytes int) bool { return m.memory.hold(m.part, int64(bytes)) }

// Release takes bytes back.
func (m PartMemory) Release(bytes int) { m.memory.release(m.part, int64(bytes)) }

func (m *Memory) open(p ibismemory.Part) (opened, crowded bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	opened = m.budget.Open(p)
	return opened, m.budget.Used(p).Connections > m.limits.Cap[p].Connections/crowdedShare
}

func (m *Memory) close(p ibismemory.Part, held int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.budget.Release(p, held)
	m.budget.Close(p)
}

// Option changes how connections are tracked.
type Option func(c *Connections)

// WithMemory bounds the connections by a budget; partOf returns the part that a peer's connections belong to.
func WithMemory(memory *Memory, partOf func(peer net.Addr) ibismemory.Part) Option {
	return func(c *Connections) { c.memory, c.partOf = memory, partOf }
}

// WithHeadLimit closes connections whose heads exceed the number of bytes that the function returns, 0 for no limit.
func WithHeadLimit(limit func() int) Option {
	return func(c *Connections) { c.headLimit = limit }
}

// WithReport calls the function for connections that are not accepted or are closed; it must not call the Connections.
func WithReport(report func(part ibismemory.Part, refusal Refusal, n int)) Option {
	return func(c *Connections) { c.report = report }
}

// account is what a connection holds of the budget; its lock is taken last.
type account struct {
	mu   sync.Mutex
	part ibismemory.Part
	// held are bytes beside what the connection itself takes, of which ofRequest are kept until its request ends.
	held, ofRequest int64
	// closed means that all was given back.
	closed bool
}

// add records bytes that are held already; it gives them back if the connection is closed.
func (a *account) add(memory *Memory, bytes int64, ofRequest bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.closed {
		memory.release(a.part, bytes)
		return
	}
	a.held += bytes
	if ofRequest {
		a.ofRequest += bytes
	}
}

// release gives bytes back, unless that was done when the connection was closed.
func (a *account) release(memory *Memory, bytes int64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed && bytes > 0 {
		a.held -= bytes
		memory.release(a.part, bytes)
	}
}

// endRequest gives back what was held for the request.
func (a *account) endRequest(memory *Memory) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed && a.ofRequest > 0 {
		a.held -= a.ofRequest
		memory.release(a.part, a.ofRequest)
		a.ofRequest = 0
	}
}

// end gives everything back.
func (a *account) end(memory *Memory) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.closed {
		a.closed = true
		memory.close(a.part, a.held)
	}
}

func (a *account) heldBytes() int64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held
}

// admit counts an accepted connection if it fits, for which others may be closed, and reports whether it does.
func (c *Connections) admit(inner net.Conn) (ibismemory.Part, bool) {
	if c.memory == nil {
		return 0, true
	}
	part := c.partOf(inner.RemoteAddr())
	opened, crowded := c.memory.open(part)
	if !opened && c.makeRoom(part, 0, nil) {
		opened, crowded = c.memory.open(part)
	}
	if !opened {
		c.reportRefusal(part, RefusalConnections, 1)
		return part, false
	}
	if socket, ok := inner.(*net.TCPConn); ok && crowded {
		_ = socket.SetReadBuffer(crowdedReceiveBytes)
		_ = socket.SetWriteBuffer(crowdedSendBytes)
	}
	return part, true
}

func (c *Connections) reportRefusal(part ibismemory.Part, refusal Refusal, n int) {
	if c.report != nil && n > 0 {
		c.report(part, refusal, n)
	}
}

// Hold counts bytes that the request of a connection holds, if they fit, for which other connections may be closed. It returns the
// function that gives them back, and whether they fit.
func (c *Connections) Hold(nc net.Conn, bytes int64) (release func(), ok bool) {
	tracked := trackedOf(nc)
	if tracked == nil || c.memory == nil {
		return func() {}, true
	}
	if !c.hold(tracked, bytes, false) {
		c.reportRefusal(tracked.account.part, RefusalMemory, 1)
		return func() {}, false
	}
	return sync.OnceFunc(func() { tracked.account.release(c.memory, bytes) }), true
}

// trackedOf returns the tracked connection that a connection is or wraps, nil if there is none.
func trackedOf(nc net.Conn) *conn {
	for {
		switch c := nc.(type) {
		case *conn:
			return c
		case interface{ NetConn() net.Conn }:
			nc = c.NetConn()
		default:
			return nil
		}
	}
}

func (c *Connections) hold(tracked *conn, bytes int64, ofRequest bool) bool {
	part := tracked.account.part
	if !c.memory.hold(part, bytes) && !(c.makeRoom(part, bytes, tracked) && c.memory.hold(part, bytes)) {
		return false
	}
	tracked.account.add(c.memory, bytes, ofRequest)
	return true
}

// makeRoom closes connections of a part other than the given one, so that a further connection or the bytes may fit, and reports
// whether it closed any.
func (c *Connections) makeRoom(part ibismemory.Part, bytes int64, except *conn) bool {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.nextScan) {
		return false
	}
	var conns []*conn
	var candidates []ibismemory.Candidate
	for tracked := range c.open {
		if tracked != except && tracked.account.part == part {
			conns = append(conns, tracked)
			candidates = append(candidates, tracked.candidate(now, c.memory.limits.ConnectionBytes))
		}
	}
	closed, freed := 0, int64(0)
	for _, i := range ibismemory.RankVictims(candidates) {
		if ibismemory.IsEnoughFreed(closed, len(candidates), freed, bytes) {
			break
		}
		// It may have got its next request meanwhile.
		if conns[i].closeAsVictim(candidates[i].State) {
			c.open.Remove(conns[i])
			conns[i].account.end(c.memory)
			closed++
			freed += candidates[i].Held
		}
	}
	c.reportRefusal(part, RefusalRoom, closed)
	if closed == 0 {
		c.nextScan = now.Add(scanPause)
	}
	return closed > 0
}

// state returns what the connection waits for, since when, and how many bytes it has transferred meanwhile; c.mu is held.
func (c *conn) state() (ibismemory.State, time.Time, int64) {
	switch {
	case c.phase == phaseIdle && c.used:
		return ibismemory.StateIdle, c.since, 0
	case c.phase == phaseIdle:
		return ibismemory.StateUnused, c.since, 0
	case c.phase == phaseHeader:
		return ibismemory.StateReceiving, c.since, int64(c.head.count.Bytes)
	case c.phase == phaseServing && !c.sending.IsZero():
		return ibismemory.StateSending, c.sending, 0
	case c.phase == phaseServing && !c.receiving.IsZero():
		return ibismemory.StateReceiving, c.since, c.received - c.receivedBefore
	}
	return ibismemory.StateRunning, c.since, 0
}

func (c *conn) candidate(now time.Time, connectionBytes int64) ibismemory.Candidate {
	held := connectionBytes + c.account.heldBytes()
	c.mu.Lock()
	defer c.mu.Unlock()
	state, since, moved := c.state()
	return ibismemory.Candidate{
		State:  state,
		Held:   held,
		Moved:  moved,
		Waited: now.Sub(since),
	}
}

// closeAsVictim closes the connection if it is still in the state, and reports whether it did.
func (c *conn) closeAsVictim(state ibismemory.State) bool {
	return c.closeIf(func() bool {
		now, _, _ := c.state()
		unread := (state == ibismemory.StateIdle || state == ibismemory.StateUnused) && c.hasUnreadBytes()
		return c.phase != phaseClosed && now == state && !unread
	})
}

// payForHead holds what the head that was read from will take, and fails if that does not fit or the head is too long. No answer is due
// on the connection then: further heads are read as a part of the request that runs.
func (c *conn) payForHead() error {
	connections := c.connections
	if connections.memory == nil {
		return nil
	}
	c.mu.Lock()
	head, readHead := c.head.count, c.readHead
	c.mu.Unlock()
	if !readHead {
		return nil
	}
	if connections.headLimit != nil {
		if limit := connections.headLimit(); limit > 0 && head.Bytes > limit+headSlack {
			c.refuseHead(RefusalHead, "431 Request Header Fields Too Large", "")
			return errHead
		}
	}
	c.account.mu.Lock()
	due := head.Cost() - headAllowance - c.account.ofRequest
	c.account.mu.Unlock()
	if due <= 0 {
		return nil
	}
	if !connections.hold(c, max(due, headStep), true) {
		c.refuseHead(RefusalMemory, "503 Service Unavailable", "Retry-After: 1\r\n")
		return errHead
	}
	return nil
}

// refuseHead answers a request whose head is not read on.
func (c *conn) refuseHead(refusal Refusal, status, fields string) {
	c.connections.reportRefusal(c.account.part, refusal, 1)
	text := []byte("HTTP/1.1 " + status + "\r\n" + fields + "Connection: close\r\nContent-Length: 0\r\n\r\n")
	// The write does not wait for a client that does not read.
	_ = c.raw.Write(func(fd uintptr) bool {
		_, _ = syscall.Write(int(fd), text)
		return true
	})
	_ = c.CloseWrite()
}

// Progress is the least that a client transfers while a request's body or answer waits for it.
type Progress struct {
	// Bytes is the number of bytes within each span.
	Bytes int64
	// Span is the span.
	Span time.Duration
}

// span is a span of a connection's progress.
type span struct {
	state ibismemory.State
	since time.Time
	moved int64
}

// closeIfStalled closes the connection if its client transfers too little, and reports whether it did.
func (c *conn) closeIfStalled(least Progress, now time.Time) bool {
	return c.closeIf(func() bool {
		state, _, _ := c.state()
		if c.phase != phaseServing || state == ibismemory.StateRunning {
			c.span = span{}
			return false
		}
		moved := c.received
		if state == ibismemory.StateSending {
			moved = c.takenBytes()
		}
		if c.span.since.IsZero() || c.span.state != state || moved-c.span.moved >= least.Bytes {
			c.span = span{
				state: state,
				since: now,
				moved: moved,
			}
			return false
		}
		return now.Sub(c.span.since) > least.Span
	})
}

// takenBytes returns how much of what was written the client has acknowledged, which rises as the client reads, also within one write.
func (c *conn) takenBytes() int64 {
	taken := c.written
	if c.raw != nil {
		_ = c.raw.Control(func(fd uintptr) {
			if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
				taken = int64(info.Bytes_acked)
			}
		})
	}
	return taken
}
