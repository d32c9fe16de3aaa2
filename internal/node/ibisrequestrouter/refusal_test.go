package ibisrequestrouter_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

// failingBody is a request body that panics if it is read.
type failingBody struct{}

func (failingBody) Read([]byte) (int, error) { panic("the body was read") }

var _ = Describe("A refusal", func() {
	var f *fleet
	ctx := context.Background()
	request := func(method, path string, body io.Reader, changes ...change) func() *http.Request {
		return func() *http.Request {
			r := httptest.NewRequest(method, path, body)
			r.Header.Set("Authorization", "Bearer "+shopToken)
			r.Header.Set("Idempotency-Key", "k")
			for _, c := range changes {
				c(r)
			}
			return r
		}
	}
	order := request("POST", "/order/MAT-1", strings.NewReader("x"))
	asPeer := func(r *http.Request) { r.Host = "peer" }

	DescribeTable("with the outcome notRun names the cause, and the request did not run",
		func(service ibisid.ServiceName, at int, fault func(), build func() *http.Request, code string) {
			f = newFleet(service, 2)
			fault()
			r := build()
			handler := f.nodes[at].router.Callers()
			if r.Host == "peer" {
				handler = f.nodes[at].router.Peers()
			}
			w := httptest.NewRecorder()
			handler.ServeHTTP(w, r)
			got := reply{status: w.Code, header: w.Header(), body: w.Body.String()}
			Expect(got.code()).To(Equal(code), got.body)
			if strings.HasPrefix(code, "503") {
				Expect(got.header.Get("Retry-After")).NotTo(BeEmpty())
			}
			Expect(f.runs("")).To(BeZero())
		},
		Entry("no document", keyed, 0, func() { f.doc.Store(nil) }, order, "503 notReady notRun"),
		Entry("stale document", keyed, 0, func() { f.stale.Store(true) }, order, "503 notReady notRun"),
		Entry("no route", keyed, 0, func() {}, request("GET", "/none", failingBody{}), "404 noRoute notRun"),
		Entry("method", keyed, 0, func() {}, request("PUT", "/order/MAT-1", failingBody{}), "405 methodNotAllowed notRun"),
		Entry("name", keyed, 0, func() {}, request("POST", "/order/MAT-x", failingBody{}), "400 badName notRun"),
		Entry("no token", keyed, 0, func() {}, request("POST", "/order/MAT-1", failingBody{}, with("Authorization", "")), "401 unauthorized notRun"),
		Entry("no idempotency key", keyed, 0, func() {}, request("POST", "/order/MAT-1", failingBody{}, key("")), "400 badIdempotencyKey notRun"),
		Entry("bad deadline", keyed, 0, func() {}, request("POST", "/order/MAT-1", failingBody{}, with("Ibis-Deadline", "soon")), "400 badDeadline notRun"),
		Entry("outside the homes", keyed, 0, func() {}, request("POST", "/order/MAT-1", failingBody{}, with("Authorization", "Bearer "+homeToken)), "421 notHome notRun"),
		Entry("ticket outside the homes", keyed, 0, func() {}, request("POST", "/ibis/tickets", failingBody{}, with("Authorization", "Bearer "+homeToken)), "421 notHome notRun"),
		Entry("forwarded outside the homes", keyed, 0, func() {},
			request("POST", "/order/MAT-1", failingBody{}, with("Authorization", "Bearer "+homeToken), with("X-Ibis-Role", "owner"), asPeer), "421 notHome notRun"),
		Entry("too large by its length", keyed, 0, func() {}, request("POST", "/order/MAT-1", failingBody{}, func(r *http.Request) { r.ContentLength = 1 << 20 }), "413 bodyTooLarge notRun"),
		Entry("too large by its chunks", keyed, 0, func() {}, request("POST", "/order/MAT-1", strings.NewReader(strings.Repeat("x", 200_001)), func(r *http.Request) { r.ContentLength = -1 }), "413 bodyTooLarge notRun"),
		Entry("small body cut short", keyed, 1, func() {}, request("POST", "/order/MAT-1", strings.NewReader("x"), func(r *http.Request) { r.ContentLength = 2 }), "400 bodyNotRead notRun"),
		Entry("no owner", keyed, 0, func() { f.owner.Store(nil) }, order, "503 noOwner notRun"),
		Entry("owner unreachable", keyed, 1, func() { f.nodes[0].peer.Address = "127.0.0.1:1" }, order, "503 unreachable notRun"),
		Entry("lease lapsed right before the hand-over", keyed, 0, func() { f.nodes[0].checkFails.Store(true) }, order, "503 notOwner notRun"),
		Entry("lease lapsed right before the hand-over, over a hop", keyed, 1, func() { f.nodes[0].checkFails.Store(true) }, order, "503 notOwner notRun"),
		Entry("backend server of another service", unkeyed, 0, func() {}, order, "503 wrongService notRun"),
		Entry("domain out", keyed, 1, func() { f.nodes[0].gate.SetDomain(ibisadmit.DomainEvent{OutOfService: true}) }, order, "503 domainOut notRun"),
		Entry("memory full", keyed, 1, func() { f.nodes[0].fill() }, order, "503 memoryFull notRun"),
		Entry("key from the future", keyed, 1, func() {}, request("POST", "/order/MAT-1", nil, key("ffffffff-ffff-7fff-bfff-ffffffffffff")), "400 idempotencyKeyInFuture notRun"),
		Entry("ticket without a valid signature", keyed, 1, func() {}, request("POST", "/order/MAT-1", nil, key("ibt_x")), "400 badIdempotencyKey notRun"),
		Entry("no role", keyed, 0, func() {}, request("POST", "/order/MAT-1", nil, with("X-Ibis-Role", "door"), asPeer), "400 badForward notRun"),
		Entry("forged role: owner, elsewhere", keyed, 1, func() {}, request("POST", "/order/MAT-1", nil, with("X-Ibis-Role", "owner"), asPeer), "503 notOwner notRun"),
		Entry("forged role: server, service divided by key", keyed, 0, func() {}, request("POST", "/order/MAT-1", nil, with("X-Ibis-Role", "server"), asPeer), "400 badForward notRun"),
		Entry("forged role: no account", keyed, 0, func() {}, request("POST", "/order/MAT-1", nil, with("Authorization", "Bearer x"), with("X-Ibis-Role", "owner"), asPeer), "401 unauthorized notRun"),
	)

	It("of a full queue comes at once, and no request refused over a hop has run", func() {
		f = newFleet(keyed, 2)
		release := make(chan struct{})
		var begun atomic.Int64
		f.answer(func(http.ResponseWriter, *http.Request) { begun.Add(1); <-release })
		codes := make(chan string, 20)
		var group sync.WaitGroup
		for i := range 20 {
			group.Go(func() { codes <- post(f.nodes[1], "/order/MAT-1", string(rune('a'+i))) })
		}
		Eventually(func() int { return len(codes) }).Should(BeNumerically(">=", 12))
		Expect(begun.Load()).To(BeNumerically("<=", 4), "slots")
		close(release)
		group.Wait()
		close(codes)
		ran := 0
		for c := range codes {
			if c == "200" {
				ran++
			}
		}
		Expect(f.runs("")).To(Equal(ran))
	})

	It("comes at the deadline if the backend server does not answer, with the outcome unknown", func() {
		for _, at := range []int{0, 1} {
			release := make(chan struct{})
			f = newFleet(keyed, 2)
			DeferCleanup(func() { close(release) })
			f.answer(func(http.ResponseWriter, *http.Request) { <-release })
			Expect(ask(ctx, f.nodes[at], "POST", "/order/MAT-1", nil, key("k"), with("Ibis-Deadline", "50ms")).code()).To(Equal("502 noAnswer unknown"))
		}
	})

	It("is retried only if the request did not run or is idempotent, with at most 1.1 attempts per request", func() {
		f = newFleet(keyed, 2)
		const requests = 150
		for _, kind := range []struct {
			method, path string
			fault        func(peerHandler http.Handler, w http.ResponseWriter, r *http.Request)
			least, most  int64
		}{
			{"POST", "/order/MAT-1", func(http.Handler, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, requests, requests},
			{"POST", "/order/MAT-x", nil, 0, 0},
			{"GET", "/mat/MAT-1", func(http.Handler, http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, requests + 1, requests * 11 / 10},
		} {
			f.nodes[0].onPeer.Store(&kind.fault)
			before := f.nodes[1].sent.Load()
			for range requests {
				ask(ctx, f.nodes[1], kind.method, kind.path, nil, key("k"))
			}
			Expect(f.nodes[1].sent.Load()-before).To(And(BeNumerically(">=", kind.least), BeNumerically("<=", kind.most)), kind.path)
		}
	})

	It("is counted by tenant, class and code, and no metric contains a key", func() {
		f = newFleet(keyed, 2)
		f.nodes[0].gate.RegisterMetrics(f.nodes[0].metrics)
		Expect(post(f.nodes[0], "/order/MAT-471122", "needle")).To(Equal("200"))
		Expect(post(f.nodes[0], "/order/MAT-needle", "k")).To(Equal("400 badName notRun"))
		var out strings.Builder
		f.nodes[0].metrics.WritePrometheus(&out)
		for _, line := range []string{
			`ibisridge_requests_by_tenant_total{tenant="shop",outcome="done"} 1`, `ibisridge_requests_by_class_total{class="quick",outcome="done"} 1`,
			`ibisridge_refusals_total{code="badName"} 1`, `ibisridge_attempts_total{kind="first"} 1`, `ibisridge_gate_limit 4`,
			`ibisridge_gate_service_seconds_count{class="quick"} 1`, `ibisridge_gate_wait_seconds_count{class="quick"} 1`, `ibisridge_servers_set_aside 0`,
		} {
			Expect(out.String()).To(ContainSubstring(line))
		}
		Expect(out.String()).NotTo(Or(ContainSubstring("471122"), ContainSubstring("needle")))
	})

	It("that is permanent is not retried", func() {
		f = newFleet(keyed, 2)
		Expect(post(f.nodes[1], "/order/MAT-1", "k")).To(Equal("200"))
		for range 20 {
			Expect(ask(ctx, f.nodes[1], "POST", "/order/MAT-1", nil, key("k")).code()).To(Equal("422 idempotencyKeyReused notRun"))
		}
		Expect(f.nodes[1].sent.Load()).To(Equal(int64(21)))
	})
})

// fill fills the node's at-most-once memory until it refuses further requests.
func (n *node) fill() {
	n.memory.WithCore(func(core *ibisidempotency.Memory) {
		slot := ibisid.Slot{Index: 1 << 20}
		core.Acquire(slot, 1, ibisidempotency.TakeoverFresh, time.Now())
		full := false
		for i := 0; !full; i++ {
			full = core.Begin(ibisidempotency.BeginEvent{Slot: slot, Key: strconv.Itoa(i)}, time.Now()).Verdict != ibisidempotency.VerdictRun
		}
	})
}
