package ibisrequestrouter_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

var _ = Describe("An answer", func() {
	ctx := context.Background()

	DescribeTable("that ends early reaches the caller as a broken transfer", func(at int, chunked bool) {
		f := newFleet(keyed, 2)
		f.answer(func(w http.ResponseWriter, _ *http.Request) {
			if !chunked {
				w.Header().Set("Content-Length", "100000")
			}
			_, _ = io.WriteString(w, strings.Repeat("x", 50_000))
			_ = http.NewResponseController(w).Flush()
			panic(http.ErrAbortHandler)
		})
		Expect(ask(ctx, f.nodes[at], "GET", "/mat/MAT-1", nil).code()).To(Equal("broken"))
		Expect(ask(ctx, f.nodes[at], "POST", "/order/MAT-1", nil, key("k")).code()).To(Equal("broken"))
		Expect(ask(ctx, f.nodes[at], "POST", "/order/MAT-1", nil, key("k")).code()).To(Equal("409 answerNotKept done"))
		Eventually(func() int { return f.nodes[0].gate.Stats().Running }).Should(BeZero())
	},
		Entry("at the gate, by length", 0, false),
		Entry("at the gate, by chunks", 0, true),
		Entry("over a hop, by length", 1, false),
		Entry("over a hop, by chunks", 1, true),
	)

	// Guards against a part of an answer that only the end of the connection ends: an orderly end makes it the whole.
	DescribeTable("that ends early is cut by a reset where its end is that of the connection", func(at int, whole bool) {
		f := newFleet(keyed, 2)
		f.answer(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, strings.Repeat("x", 50_000))
			_ = http.NewResponseController(w).Flush()
			if !whole {
				panic(http.ErrAbortHandler)
			}
		})
		conn, err := net.Dial("tcp4", f.nodes[at].callers.Listener.Addr().String())
		Expect(err).NotTo(HaveOccurred())
		defer func() { _ = conn.Close() }()
		_, err = fmt.Fprintf(conn, "GET /mat/MAT-1 HTTP/1.0\r\nAuthorization: Bearer %s\r\n\r\n", shopToken)
		Expect(err).NotTo(HaveOccurred())
		text, err := io.ReadAll(conn)
		Expect(string(text)).To(HavePrefix("HTTP/1.0 200"))
		Expect(err == nil).To(Equal(whole), "%d bytes, %v", len(text), err)
	},
		Entry("at the gate", 0, false),
		Entry("over a hop", 1, false),
		Entry("at the gate, but not if it is whole", 0, true),
		Entry("over a hop, but not if it is whole", 1, true),
	)

	It("may be streamed for longer than the deadline and the time limit for the request body", func() {
		slow := func(w http.ResponseWriter, _ *http.Request) {
			for range 10 {
				_, _ = io.WriteString(w, "0123456789")
				_ = http.NewResponseController(w).Flush()
				time.Sleep(30 * time.Millisecond)
			}
			time.Sleep(1300 * time.Millisecond)
			_, _ = io.WriteString(w, "end")
		}
		for _, method := range []string{"GET /mat/MAT-1", "POST /order/MAT-1"} {
			f := newFleet(keyed, 2)
			f.answer(slow)
			name, path, _ := strings.Cut(method, " ")
			r := ask(ctx, f.nodes[1], name, path, nil, key("k"), with("Ibis-Deadline", "100ms"))
			Expect(r.err).NotTo(HaveOccurred())
			Expect(r.body).To(HaveLen(103))
		}
	})

	It("of 200 MB is forwarded in constant memory, no faster than its caller reads it", func() {
		f := newFleet(keyed, 2)
		const size = 200 << 20
		var written atomic.Int64
		chunk := bytes.Repeat([]byte("0123456789abcdef"), 4<<10)
		f.answer(func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Length", fmt.Sprint(size))
			for written.Load() < size {
				n, err := w.Write(chunk)
				written.Add(int64(n))
				if err != nil {
					return
				}
			}
		})
		request, err := http.NewRequest("GET", f.nodes[1].callers.URL+"/mat/MAT-1", nil)
		Expect(err).NotTo(HaveOccurred())
		request.Header.Set("Authorization", "Bearer "+shopToken)
		response, err := http.DefaultClient.Do(request)
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		last := int64(-1)
		Eventually(func() bool { before := last; last = written.Load(); return before == last }).
			WithTimeout(20 * time.Second).WithPolling(200 * time.Millisecond).Should(BeTrue())
		Expect(last).To(BeNumerically("<", size/2), "back-pressure")
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		read, err := io.Copy(io.Discard, response.Body)
		runtime.ReadMemStats(&after)
		Expect(err).NotTo(HaveOccurred())
		Expect(read).To(Equal(int64(size)))
		Expect(after.TotalAlloc-before.TotalAlloc).To(BeNumerically("<", 16<<20), "allocated while 200 MB passed")
	})

	It("reaches its own caller, in any order of answers and with callers that disconnect", func() {
		f := newFleet(keyed, 3)
		f.answer(func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(time.Duration(rand.IntN(4)) * time.Millisecond)
			_, _ = io.WriteString(w, r.URL.Path+strings.Repeat("-", rand.IntN(3000)))
		})
		var group sync.WaitGroup
		var complete atomic.Int64
		for worker := range 12 {
			group.Go(func() {
				defer GinkgoRecover()
				for i := range 40 {
					path := fmt.Sprintf("/mat/MAT-%d", worker*1000+i)
					got := func() bool {
						ctx, leave := context.WithCancel(ctx)
						defer leave()
						if i%3 == 0 {
							time.AfterFunc(time.Duration(rand.IntN(4))*time.Millisecond, leave)
						}
						r := ask(ctx, f.nodes[worker%3], "GET", path, nil)
						answered := r.err == nil && r.status == 200
						if answered {
							Expect(strings.TrimRight(r.body, "-")).To(Equal(path))
						}
						return answered
					}
					if i%3 == 0 {
						got()
						continue
					}
					Eventually(got).WithTimeout(time.Minute).Should(BeTrue(), "a caller that stays connected and repeats its request is served")
					complete.Add(1)
				}
			})
		}
		group.Wait()
		Expect(complete.Load()).To(Equal(int64(12 * 26)))
	})

	It("is cancelled when the caller disconnects, if the request is idempotent", func() {
		f := newFleet(keyed, 2)
		cancelled := make(chan struct{}, 9)
		f.answer(func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done(); cancelled <- struct{}{} })
		for _, n := range f.nodes {
			ctx, leave := context.WithCancel(ctx)
			time.AfterFunc(50*time.Millisecond, leave)
			ask(ctx, n, "GET", "/mat/MAT-1", nil)
			Eventually(cancelled).Should(Receive())
		}
	})

	It("carries no header that a backend server or a caller may not set", func() {
		f := newFleet(keyed, 2)
		seen := make(chan http.Header, 2)
		f.answer(func(w http.ResponseWriter, r *http.Request) {
			seen <- r.Header.Clone()
			for _, name := range []string{"Ibis-Outcome", "Ibis-Repeated", "Ibis-Load", "X-Ibis-Token"} {
				w.Header().Set(name, "notRun")
			}
			w.Header().Set("X-Own", "1")
		})
		for _, n := range f.nodes {
			r := ask(ctx, n, "GET", "/mat/MAT-1", nil, with("X-Ibis-Token", "99"), with("X-Ibis-Key", "other"), with("X-Ibis-Not-Run", "true"), with("X-Ibis-Role", "server"))
			Expect(r.code()).To(Equal("200"))
			Expect(r.header).To(HaveKey("X-Own"))
			for name := range r.header {
				Expect(name).NotTo(MatchRegexp("^(X-)?Ibis-"))
			}
			header := <-seen
			Expect(header.Get("X-Ibis-Token")).To(Equal("7"))
			Expect(header.Get("X-Ibis-Key")).To(Equal("mat:1"), "the canonical key")
			Expect(header).NotTo(Or(HaveKey("X-Ibis-Not-Run"), HaveKey("X-Ibis-Role")))
		}
	})
})

var _ = Describe("A hedge", func() {
	DescribeTable("is sent once, for idempotent requests with a buffered body, and the losing attempt is cancelled",
		func(service ibisid.ServiceName, method, path string, body func() io.Reader, hedged bool) {
			f := newFleet(service, 3)
			send := func() reply { return ask(context.Background(), f.nodes[1], method, path, body(), key("k")) }
			for range 120 {
				Expect(ask(context.Background(), f.nodes[1], "GET", map[bool]string{true: "/ask", false: "/mat/MAT-1"}[service == unkeyed], nil).status).To(Equal(200))
			}
			before := f.runs("")
			var first sync.Once
			cancelled := make(chan struct{}, 1)
			f.answer(func(w http.ResponseWriter, r *http.Request) {
				slow := false
				first.Do(func() { slow = true })
				got, _ := io.ReadAll(r.Body)
				if slow {
					select {
					case <-r.Context().Done():
						cancelled <- struct{}{}
					case <-time.After(map[bool]time.Duration{true: 6 * time.Second, false: 400 * time.Millisecond}[hedged]):
					}
				}
				if hedged && !slow {
					_ = http.NewResponseController(w).Flush()
					select {
					case <-cancelled:
					case <-time.After(5 * time.Second):
						return
					}
				}
				_, _ = fmt.Fprint(w, len(got))
			})
			r := send()
			Expect(r.status).To(Equal(200))
			Expect(r.body).To(Equal(fmt.Sprint(len(drain(body())))))
			Expect(f.runs("") - before).To(Equal(map[bool]int{true: 2, false: 1}[hedged]))
			for _, n := range f.nodes {
				Eventually(func() int { return n.gate.Stats().Running }).Should(BeZero())
			}
		},
		Entry("lookup", unkeyed, "GET", "/ask", none, true),
		Entry("small body", unkeyed, "PUT", "/put", text("x", 1), true),
		Entry("body that streams", unkeyed, "PUT", "/put", text("x", 100_000), false),
		Entry("non-idempotent", unkeyed, "POST", "/pay", text("x", 1), false),
		Entry("service divided by key", keyed, "GET", "/mat/MAT-1", none, false),
	)
})

var _ = It("closes the answer of a losing attempt that arrives late", func() {
	f := newFleet(unkeyed, 3)
	f.nodes[1].peer.Service = "other"
	send := func() reply { return ask(context.Background(), f.nodes[1], "GET", "/ask", nil) }
	for range 120 {
		Expect(send().status).To(Equal(200))
	}
	f.answer(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 8<<20)) })
	won := make(chan struct{})
	var held atomic.Bool
	hold := func(ctx context.Context) context.Context {
		if held.Swap(true) {
			return ctx
		}
		<-won
		return context.WithoutCancel(ctx)
	}
	f.nodes[1].onSend.Store(&hold)
	before := f.runs("")
	Expect(send().body).To(HaveLen(8 << 20))
	close(won)
	Eventually(func() int { return f.runs("") - before }).Should(Equal(2))
	for _, n := range f.nodes {
		Eventually(func() int { return n.gate.Stats().Running }).Should(BeZero())
	}
})

func none() io.Reader { return http.NoBody }

func text(s string, times int) func() io.Reader {
	return func() io.Reader { return strings.NewReader(strings.Repeat(s, times)) }
}

func drain(r io.Reader) string {
	all, _ := io.ReadAll(r)
	return string(all)
}
