package ibisconnections_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/relay/ibisconnections"
)

func TestConnections(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibisconnections")
}

var _ = Describe("Connections", func() {
	var (
		start  = time.Unix(1000, 0)
		conns  *ibisconnections.Connections
		limits = ibisconnections.Limits{Header: 3 * time.Second, Idle: 15 * time.Second}
	)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }

	BeforeEach(func() { conns = ibisconnections.New() })

	connection := func() net.Conn {
		conn, other := net.Pipe()
		DeferCleanup(conn.Close)
		DeferCleanup(other.Close)
		return conn
	}

	It("reports connections that exceed the idle or the header limit, but none that runs a request", func() {
		idle, slow, serving := connection(), connection(), connection()
		conns.SetState(idle, http.StateNew, at(0))
		conns.SetState(slow, http.StateNew, at(0))
		conns.SetState(slow, http.StateActive, at(1))
		conns.SetState(serving, http.StateActive, at(0))
		conns.MarkHeadersComplete(serving)
		Expect(conns.Overdue(limits, at(4))).To(BeEmpty())
		Expect(conns.Overdue(limits, at(5))).To(ConsistOf(slow))
		Expect(conns.Overdue(limits, at(100))).To(ConsistOf(slow, idle))
		conns.SetState(serving, http.StateIdle, at(100))
		Expect(conns.Overdue(limits, at(115))).To(ConsistOf(slow, idle))
		Expect(conns.Overdue(limits, at(116))).To(ConsistOf(slow, idle, serving))
	})

	It("applies changed limits, and none before the first configuration", func() {
		a := connection()
		conns.SetState(a, http.StateNew, at(0))
		Expect(conns.Overdue(ibisconnections.Limits{}, at(1000))).To(BeEmpty())
		Expect(conns.Overdue(ibisconnections.Limits{Idle: time.Second}, at(2))).To(ConsistOf(a))
	})

	It("drops closed connections", func() {
		a := connection()
		conns.SetState(a, http.StateNew, at(0))
		conns.SetState(a, http.StateClosed, at(1))
		conns.MarkHeadersComplete(a)
		Expect(conns.Overdue(limits, at(100))).To(BeEmpty())
	})
})
