package ibisconnections_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"golang.org/x/sys/unix"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibisconnections"
)

func TestConnections(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisconnections")
}

// pipes is a listener that accepts given connections.
type pipes chan net.Conn

func (p pipes) Accept() (net.Conn, error) { return <-p, nil }

func (p pipes) Close() error { return nil }

func (p pipes) Addr() net.Addr { return nil }

// readHook calls onRead after each read, before the bytes are returned.
type readHook struct {
	net.Conn
	onRead func()
}

func (r readHook) Read(p []byte) (int, error) {
	n, err := r.Conn.Read(p)
	r.onRead()
	return n, err
}

// awaitDelivery waits until the peer's socket has received all that was written to a connection.
func awaitDelivery(conn net.Conn) {
	raw, err := conn.(*net.TCPConn).SyscallConn()
	Expect(err).NotTo(HaveOccurred())
	Eventually(func() int {
		unacknowledged := -1
		_ = raw.Control(func(fd uintptr) { unacknowledged, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
		return unacknowledged
	}).Should(BeZero())
}

var _ = Describe("Connections", func() {
	var (
		clock  *ibistimer.Fake
		conns  *ibisconnections.Connections
		limits = ibisconnections.Limits{Header: 3 * time.Second, Idle: 15 * time.Second}
	)

	BeforeEach(func() {
		clock = ibistimer.NewFake(time.Unix(1000, 0))
		conns = ibisconnections.New(clock)
	})

	accept := func(inner net.Conn) net.Conn {
		ready := make(pipes, 1)
		ready <- inner
		conn, err := conns.Listener(ready).Accept()
		Expect(err).NotTo(HaveOccurred())
		return conn
	}
	// connection returns an accepted connection and the caller's end of it.
	connection := func() (net.Conn, net.Conn) {
		inner, caller := net.Pipe()
		DeferCleanup(inner.Close)
		DeferCleanup(caller.Close)
		return accept(inner), caller
	}
	receive := func(conn, caller net.Conn) {
		go func() { _, _ = caller.Write([]byte("G")) }()
		_, err := io.ReadFull(conn, make([]byte, 1))
		Expect(err).NotTo(HaveOccurred())
	}
	isOpen := func(conn net.Conn) bool { return conn.SetDeadline(time.Time{}) == nil }

	It("closes connections that exceed the idle or the header limit, but none that runs a request", func() {
		idle, _ := connection()
		slow, slowCaller := connection()
		serving, servingCaller := connection()
		receive(serving, servingCaller)
		Expect(conns.BeginRequest(serving)).To(BeTrue())
		clock.Advance(time.Second)
		receive(slow, slowCaller)
		clock.Advance(3 * time.Second)
		Expect(conns.CloseOverdue(limits)).To(BeZero())
		clock.Advance(time.Second)
		Expect(conns.CloseOverdue(limits)).To(Equal(1))
		Expect(isOpen(slow)).To(BeFalse())
		Expect(isOpen(idle)).To(BeTrue())
		clock.Advance(95 * time.Second)
		Expect(conns.CloseOverdue(limits)).To(Equal(1))
		Expect(isOpen(idle)).To(BeFalse())
		conns.SetState(serving, http.StateIdle)
		clock.Advance(15 * time.Second)
		Expect(conns.CloseOverdue(limits)).To(BeZero())
		clock.Advance(time.Second)
		Expect(conns.CloseOverdue(limits)).To(Equal(1))
		Expect(isOpen(serving)).To(BeFalse())
	})

	It("applies changed limits, and none before the first configuration", func() {
		a, _ := connection()
		clock.Advance(1000 * time.Second)
		Expect(conns.CloseOverdue(ibisconnections.Limits{})).To(BeZero())
		Expect(conns.CloseOverdue(ibisconnections.Limits{Idle: time.Second})).To(Equal(1))
		Expect(isOpen(a)).To(BeFalse())
	})

	It("drops closed connections", func() {
		a, _ := connection()
		Expect(a.Close()).To(Succeed())
		clock.Advance(100 * time.Second)
		Expect(conns.CloseOverdue(limits)).To(BeZero())
		Expect(conns.CloseIdle()).To(BeZero())
	})

	It("discards a request that was read while its connection was closed, and does not run it", func() {
		inner, caller := net.Pipe()
		DeferCleanup(caller.Close)
		conn := accept(readHook{
			Conn:   inner,
			onRead: func() { Expect(conns.CloseIdle()).To(BeZero()) },
		})
		go func() { _, _ = caller.Write([]byte("G")) }()
		n, err := conn.Read(make([]byte, 1))
		Expect(n).To(BeZero())
		Expect(err).To(MatchError(net.ErrClosed))
		Expect(conns.BeginRequest(conn)).To(BeFalse())
	})

	It("keeps an idle connection on which a request has arrived that was not read yet", func() {
		listening, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listening.Close)
		caller, err := net.Dial("tcp4", listening.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		inner, err := listening.Accept()
		Expect(err).NotTo(HaveOccurred())
		conn := accept(inner)
		_, err = caller.Write([]byte("G"))
		Expect(err).NotTo(HaveOccurred())
		awaitDelivery(caller)
		clock.Advance(16 * time.Second)
		Expect(conns.CloseIdle()).To(Equal(1))
		Expect(conns.CloseOverdue(limits)).To(BeZero())
		receive(conn, caller)
	})
})

type connectionKey struct{}

var _ = Describe("Connections of an HTTP server", func() {
	var (
		clock   *ibistimer.Fake
		conns   *ibisconnections.Connections
		limits  = ibisconnections.Limits{Header: 3 * time.Second, Idle: 15 * time.Second}
		atBegin func()
		caller  net.Conn
		answers *bufio.Reader
	)

	BeforeEach(func() {
		clock = ibistimer.NewFake(time.Unix(1000, 0))
		conns = ibisconnections.New(clock)
		atBegin = func() {}
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
			Expect(conns.BeginRequest(r.Context().Value(connectionKey{}).(net.Conn))).To(BeTrue())
			atBegin()
		}))
		server.Listener = conns.Listener(server.Listener)
		server.Config.ConnState = conns.SetState
		server.Config.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		}
		server.Start()
		DeferCleanup(server.Close)
		var err error
		caller, err = net.Dial("tcp4", server.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(caller.Close)
		answers = bufio.NewReader(caller)
	})
	write := func(text string) {
		_, err := fmt.Fprint(caller, text)
		Expect(err).NotTo(HaveOccurred())
	}
	expectAnswer := func() {
		response, err := http.ReadResponse(answers, nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.StatusCode).To(Equal(http.StatusOK))
	}

	// Guards against a sweep that picked idle connections and closed them after a request had begun on one.
	It("are not closed for idleness once a request has begun", func() {
		atBegin = func() {
			clock.Advance(time.Minute)
			Expect(conns.CloseOverdue(limits)).To(BeZero())
			Expect(conns.CloseIdle()).To(Equal(1))
		}
		write("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		expectAnswer()
	})

	// Guards against the idle limit, and a stop, that cut a head which had begun to arrive: http.Server reports it when complete.
	It("are not closed for idleness while a request's headers arrive, which have the header limit", func() {
		write("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		expectAnswer()
		clock.Advance(14 * time.Second)
		write("GET / HTTP/1.1\r\n")
		awaitDelivery(caller)
		clock.Advance(2 * time.Second)
		Expect(conns.CloseOverdue(limits)).To(BeZero())
		Consistently(conns.CloseIdle, 100*time.Millisecond).Should(Equal(1))
		write("Host: a\r\n\r\n")
		expectAnswer()
	})
})
