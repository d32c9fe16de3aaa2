package ibisrequestrouter_test

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
	"github.com/ibisridge/ibisridge/internal/standin/ibisstore"
)

// post sends an order or payment with the key and returns the code of the reply.
func post(n *node, path, k string) string {
	deadline := "8s"
	if strings.HasPrefix(path, "/proof") {
		deadline = "700ms"
	}
	return ask(context.Background(), n, "POST", path, strings.NewReader("x"), key(k), with("Ibis-Deadline", deadline)).code()
}

// ticket requests a ticket from a node.
func ticket(n *node, path string) string {
	r := ask(context.Background(), n, "POST", "/ibis/tickets", strings.NewReader(`{"method":"POST","path":"`+path+`"}`))
	var body struct{ Ticket string }
	Expect(json.Unmarshal([]byte(r.body), &body)).To(Succeed(), r.body)
	return body.Ticket
}

// breakNextForward aborts the connection of the next request that is forwarded to the node: after reading the request, or
// after running it if ran is set.
func breakNextForward(n *node, ran bool) {
	var once sync.Once
	change := func(peerHandler http.Handler, w http.ResponseWriter, r *http.Request) {
		lose := false
		once.Do(func() { lose = true })
		if lose && !ran {
			_, _ = io.ReadAll(r.Body)
			panic(http.ErrAbortHandler)
		}
		if lose {
			peerHandler.ServeHTTP(httptest.NewRecorder(), r)
			panic(http.ErrAbortHandler)
		}
		peerHandler.ServeHTTP(w, r)
	}
	n.onPeer.Store(&change)
}

// move moves every slot from the first node to the second, with or without its at-most-once records.
func (f *fleet) move(withMemory bool) {
	from, to := f.nodes[0], f.nodes[1]
	to.takeover = ibisidempotency.TakeoverLossy
	for index := range ibisid.SlotIndex(4) {
		slot := ibisid.Slot{Space: ibisid.SlotSpace{Service: keyed}, Index: index}
		var record ibisidempotency.Record
		var ok bool
		from.memory.WithCore(func(core *ibisidempotency.Memory) {
			core.StopAdmission(slot)
			record, ok = core.Export(slot, time.Now())
			core.Drop(slot)
		})
		if ok && withMemory {
			to.memory.WithCore(func(core *ibisidempotency.Memory) { Expect(core.Import(record, 9, time.Now())).To(BeTrue()) })
		}
	}
	f.owner.Store(to)
}

var _ = Describe("A non-idempotent request", func() {
	var f *fleet
	order := func(n int, k string) string { return post(f.nodes[n], "/order/MAT-1", k) }

	DescribeTable("of a keyed service runs at most once",
		func(fault func(), first string, between func(), second string, runs int) {
			f = newFleet(keyed, 2)
			fault()
			Expect(order(1, "k")).To(Equal(first))
			between()
			Expect(order(1, "k")).To(Equal(second))
			Expect(f.runs("k")).To(Equal(runs))
		},
		Entry("repeat at the other node", func() {}, "200", func() { Expect(order(0, "k")).To(Equal("200 true")) }, "200 true", 1),
		Entry("owner lost after the write", func() { breakNextForward(f.nodes[0], false) }, "502 noAnswer unknown", func() {}, "200", 1),
		Entry("owner's answer lost", func() { breakNextForward(f.nodes[0], true) }, "502 noAnswer unknown", func() {}, "200 true", 1),
		Entry("backend server's answer lost", func() { f.answer(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }) },
			"502 noAnswer unknown", func() {}, "502 unknown unknown", 1),
		Entry("backend server fails", func() { f.answer(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(500) }) },
			"500 failed", func() {}, "500 failedtrue", 1),
		Entry("answer cut short", func() {
			f.answer(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Content-Length", "9")
				_, _ = io.WriteString(w, "x")
			})
		}, "502 answerCutShort failed", func() {}, "409 answerNotKept done", 1),
		Entry("backend server sheds first", func() {
			var once sync.Once
			f.answer(func(w http.ResponseWriter, _ *http.Request) {
				once.Do(func() { w.Header().Set("X-Ibis-Not-Run", "true"); w.WriteHeader(503) })
			})
		}, "200", func() {}, "200 true", 2),
		Entry("planned move", func() {}, "200", func() { f.move(true) }, "200 true", 1),
		Entry("lossy takeover", func() {}, "200", func() { f.move(false) }, "502 unknown unknown", 1),
		Entry("another body", func() {}, "200", func() {
			r := ask(context.Background(), f.nodes[0], "POST", "/order/MAT-1", strings.NewReader("y"), key("k"))
			Expect(r.code()).To(Equal("422 idempotencyKeyReused notRun"))
		}, "200 true", 1),
	)

	DescribeTable("that is still running when it is repeated", func(service ibisid.ServiceName, path string, streamed bool) {
		f = newFleet(service, 3)
		begun, release := make(chan struct{}, 9), make(chan struct{})
		f.answer(func(_ http.ResponseWriter, r *http.Request) {
			_, _ = io.ReadAll(r.Body)
			begun <- struct{}{}
			<-release
		})
		body := func() io.Reader {
			if streamed {
				return io.MultiReader(strings.NewReader("x"))
			}
			return strings.NewReader("x")
		}
		for _, k := range []string{"a", "b", "c", "d"} {
			ctx, leave := context.WithCancel(context.Background())
			gone := make(chan struct{})
			go func() { defer close(gone); ask(ctx, f.nodes[1], "POST", path, body(), key(k)) }()
			Eventually(begun).Should(Receive())
			leave()
			<-gone
			again := ask(context.Background(), f.nodes[2], "POST", path, body(), key(k))
			Expect(again.code()).To(Equal("409 stillRunning unknown"))
			Expect(again.header.Get("Retry-After")).To(Equal("1"))
			release <- struct{}{}
			Eventually(func() string { return ask(context.Background(), f.nodes[0], "POST", path, body(), key(k)).code() }).Should(Equal("200 true"))
			Expect(f.runs(k)).To(Equal(1))
		}
	},
		Entry("keyed", keyed, "/order/MAT-1", false),
		Entry("keyed, body of unknown length", keyed, "/order/MAT-1", true),
		Entry("unkeyed", unkeyed, "/pay", false),
	)

	It("of an unkeyed service is never sent to a second server after the first may have received it", func() {
		f = newFleet(unkeyed, 4)
		f.answer(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		for range 20 {
			k := ticket(f.nodes[1], "/pay")
			switch first := post(f.nodes[2], "/pay", k); first {
			case "503 busy notRun", "503 slow notRun", "503 queueFull notRun":
				Expect(f.runs(k)).To(BeZero(), first)
			default:
				Expect(first).To(Equal("502 noAnswer unknown"))
				Expect(post(f.nodes[3], "/pay", k)).To(Equal("502 unknown unknown"))
				Expect(f.runs(k)).To(Equal(1))
			}
		}
	})

	It("is not sent to the backend server if its slot is lost while it waits", func() {
		f = newFleet(keyed, 1)
		release := make(chan struct{})
		f.answer(func(http.ResponseWriter, *http.Request) { <-release })
		var group sync.WaitGroup
		for range 4 {
			group.Go(func() { ask(context.Background(), f.nodes[0], "GET", "/mat/MAT-1", nil) })
		}
		Eventually(func() int { return f.runs("") }).Should(Equal(4))
		code := make(chan string, 1)
		go func() { code <- order(0, "k") }()
		Eventually(func() int { return f.nodes[0].gate.Stats().Waiting }).Should(Equal(1))
		f.nodes[0].takeover = ibisidempotency.TakeoverLossy
		f.nodes[0].memory.WithCore(func(core *ibisidempotency.Memory) {
			for index := range ibisid.SlotIndex(4) {
				core.Drop(ibisid.Slot{Space: ibisid.SlotSpace{Service: keyed}, Index: index})
			}
		})
		close(release)
		group.Wait()
		Expect(<-code).To(Equal("502 unknown unknown"))
		Expect(f.runs("k")).To(BeZero())
	})

	It("after a lossy takeover runs only with a ticket that was issued after it", func() {
		f = newFleet(keyed, 2)
		old := ticket(f.nodes[1], "/order/MAT-1")
		f.nodes = append(f.nodes, f.start(keyed, 2))
		f.move(false)
		Expect(order(0, old)).To(Equal("502 unknown unknown"))
		Expect(order(0, ticket(f.nodes[0], "/order/MAT-1"))).To(Equal("200"))
		Expect(order(0, ticket(f.nodes[0], "/order/MAT-2"))).To(Equal("400 badIdempotencyKey notRun"))
		Expect(f.runs("")).To(Equal(1))
	})

	DescribeTable("that is recorded", func(rule ibisstore.FaultRule, first, second string) {
		f = newFleet(keyed, 2)
		f.store.Inject(rule)
		Expect(post(f.nodes[1], "/proof/MAT-1", "k")).To(Equal(first))
		f.store.Clear()
		Expect(post(f.nodes[1], "/proof/MAT-1", "k")).To(Equal(second))
		f.nodes[0].memory.WithCore(func(core *ibisidempotency.Memory) {
			for index := range ibisid.SlotIndex(4) {
				core.Acquire(ibisid.Slot{Space: ibisid.SlotSpace{Service: keyed}, Index: index}, 1, ibisidempotency.TakeoverFresh, time.Now())
			}
		})
		Expect(post(f.nodes[1], "/proof/MAT-1", "k")).To(Equal("502 unknown unknown"), "the row in the table prevents a second run without the memory")
		Expect(f.runs("k")).To(Equal(1))
	},
		Entry("no fault", ibisstore.FaultRule{Fault: ibisstore.FaultSlow, Count: 1}, "200", "200 true"),
		Entry("commit answer lost", ibisstore.FaultRule{Fault: ibisstore.FaultLoseAnswer, Count: 1}, "200", "200 true"),
		Entry("commit answers lost", ibisstore.FaultRule{Fault: ibisstore.FaultLoseAnswer}, "200", "200 true"),
		Entry("outage past the deadline", ibisstore.FaultRule{Fault: ibisstore.FaultDown}, "503 notRecorded notRun", "200"),
	)
})
