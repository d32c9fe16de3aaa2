package ibishop_test

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/relay/ibishop"
	"github.com/ibisridge/ibisridge/internal/relay/ibisorder"
)

func TestHop(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ibishop")
}

// target runs orders by a function.
type target func(ctx context.Context, order ibisorder.Order) ibisorder.Answer

func (f target) Send(ctx context.Context, order ibisorder.Order) ibisorder.Answer {
	return f(ctx, order)
}

// broken is a body that breaks off.
type broken struct{ io.Reader }

func (b broken) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

func (broken) Close() error { return nil }

// pacer notes what it is asked for and lets all of it go, or fails.
type pacer struct {
	mu    sync.Mutex
	asked []int
	err   error
}

func (p *pacer) WaitN(_ context.Context, n int) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = append(p.asked, n)
	return p.err
}

var _ = Describe("A hop", func() {
	clock := ibistimer.New()

	pacedHop := func(f target, p ibishop.Pacer) (*ibishop.Client, string) {
		server := httptest.NewServer(ibishop.Handler(f, p, clock, zap.NewNop()))
		DeferCleanup(server.Close)
		return ibishop.NewClient(clock), strings.TrimPrefix(server.URL, "http://")
	}

	hop := func(f target) (*ibishop.Client, string) { return pacedHop(f, rate.NewLimiter(rate.Inf, 0)) }

	answering := func(length int) target {
		return func(context.Context, ibisorder.Order) ibisorder.Answer {
			return ibisorder.Answer{
				Outcome: ibisid.OutcomeDone, Status: http.StatusOK, Length: int64(length),
				Body: io.NopCloser(bytes.NewReader(make([]byte, length))),
			}
		}
	}

	order := func() ibisorder.Order {
		return ibisorder.Order{
			ID: "r1", Method: http.MethodPost, URI: "/a//b?c=%2f", Host: "mats.example",
			Header: http.Header{"Shop": {"7"}, "Attempt-Id": {"r1"}}, Body: []byte("order"), Length: 5,
			Origin: "desk", Service: "floor", Class: "print", Priority: 2, Key: 9,
			Target: clock.Now().Add(400 * time.Millisecond), Deadline: clock.Now().Add(time.Second),
		}
	}

	It("carries an order and its answer unchanged, and the time left as a span", func() {
		var got ibisorder.Order
		client, address := hop(func(_ context.Context, o ibisorder.Order) ibisorder.Answer {
			got = o
			body, _ := io.ReadAll(o.BodyReader())
			got.Body = body
			return ibisorder.Answer{
				Outcome: ibisid.OutcomeDone, Arrived: true, Status: http.StatusCreated, Length: 4, Load: 0.5,
				Header: http.Header{"Server-Seal": {"x"}}, Body: io.NopCloser(bytes.NewReader([]byte("done"))),
			}
		})
		sent := order()
		answer := client.Send(context.Background(), address, sent)
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeDone))
		Expect(answer.Status).To(Equal(http.StatusCreated))
		Expect(answer.Header.Get("Server-Seal")).To(Equal("x"))
		Expect(answer.Header).NotTo(HaveKey("X-Ibis-Answer"))
		Expect(answer.Load).To(BeNumerically("~", 0.5, 0.01))
		Expect(io.ReadAll(answer.Body)).To(Equal([]byte("done")))
		Expect(got.URI).To(Equal(sent.URI))
		Expect(got.Host).To(Equal(sent.Host))
		Expect(got.Body).To(Equal(sent.Body))
		Expect(got.Header.Get("Shop")).To(Equal("7"))
		Expect(got.Header).NotTo(HaveKey("X-Ibis-Order"))
		Expect([]any{got.ID, got.Origin, got.Service, got.Class, got.Priority, got.Key}).
			To(Equal([]any{sent.ID, sent.Origin, sent.Service, sent.Class, sent.Priority, sent.Key}))
		Expect(got.Deadline).To(BeTemporally("~", sent.Deadline, 50*time.Millisecond))
		Expect(got.Target).To(BeTemporally("~", sent.Target, 50*time.Millisecond))
	})

	It("carries a refusal with its reason, time to come back and owner", func() {
		client, address := hop(func(context.Context, ibisorder.Order) ibisorder.Answer {
			a := ibisorder.NotRun(ibisorder.ReasonKeyElsewhere, 700*time.Millisecond, nil)
			a.Owner = "n9@10.0.0.9"
			return a
		})
		answer := client.Send(context.Background(), address, order())
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeNotRun))
		Expect(answer.Reason).To(Equal(ibisorder.ReasonKeyElsewhere))
		Expect(answer.RetryAfter).To(Equal(700 * time.Millisecond))
		Expect(answer.Owner).To(BeEquivalentTo("n9@10.0.0.9"))
	})

	It("shows an answer that breaks off as broken, not as whole", func() {
		client, address := hop(func(context.Context, ibisorder.Order) ibisorder.Answer {
			return ibisorder.Answer{
				Outcome: ibisid.OutcomeDone, Status: http.StatusOK, Length: -1,
				Body: broken{Reader: strings.NewReader("half")},
			}
		})
		answer := client.Send(context.Background(), address, order())
		if answer.Outcome == ibisid.OutcomeDone {
			_, err := io.ReadAll(answer.Body)
			Expect(err).To(HaveOccurred())
		}
	})

	It("lets a long answer out no faster than its pacer does, and a short one at once", func() {
		const long = 100_000
		p := &pacer{}
		client, address := pacedHop(answering(long), p)
		answer := client.Send(context.Background(), address, order())
		Expect(io.ReadAll(answer.Body)).To(HaveLen(long))
		sum := 0
		for _, n := range p.asked {
			Expect(n).To(BeNumerically("<=", ibisorder.ShortAnswer))
			sum += n
		}
		Expect(sum).To(Equal(long))

		p = &pacer{}
		client, address = pacedHop(answering(600), p)
		answer = client.Send(context.Background(), address, order())
		Expect(io.ReadAll(answer.Body)).To(HaveLen(600))
		Expect(p.asked).To(BeEmpty())
	})

	It("breaks an answer off whose caller left while it waited for the link", func() {
		client, address := pacedHop(answering(100_000), &pacer{err: context.Canceled})
		answer := client.Send(context.Background(), address, order())
		if answer.Outcome == ibisid.OutcomeDone {
			_, err := io.ReadAll(answer.Body)
			Expect(err).To(HaveOccurred())
		}
	})

	It("ends the order's context when the caller leaves, and leaves open whether it ran", func() {
		ended := make(chan struct{})
		client, address := hop(func(ctx context.Context, o ibisorder.Order) ibisorder.Answer {
			_, _ = io.ReadAll(o.BodyReader())
			<-ctx.Done()
			close(ended)
			return ibisorder.Unknown(ibisorder.ReasonCancelled, ctx.Err())
		})
		ctx, leave := context.WithCancel(context.Background())
		time.AfterFunc(50*time.Millisecond, leave)
		answer := client.Send(ctx, address, order())
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeUnknown))
		Expect(answer.Reason).To(Equal(ibisorder.ReasonCancelled))
		Eventually(ended).Should(BeClosed())
	})

	It("says that nothing ran where the node can't be reached", func() {
		answer := ibishop.NewClient(clock).Send(context.Background(), "127.0.0.1:1", order())
		Expect(answer.Outcome).To(Equal(ibisid.OutcomeNotRun))
		Expect(answer.Reason).To(Equal(ibisorder.ReasonUnreachable))
	})

	It("takes no request that is not a node's order", func() {
		_, address := hop(func(context.Context, ibisorder.Order) ibisorder.Answer { panic("not to be asked") })
		for _, text := range []string{"", "{", `{"key":"x"}`} {
			request, err := http.NewRequest(http.MethodGet, "http://"+address+"/", nil)
			Expect(err).NotTo(HaveOccurred())
			request.Header.Set("X-Ibis-Order", text)
			response, err := http.DefaultClient.Do(request)
			Expect(err).NotTo(HaveOccurred())
			_ = response.Body.Close()
			Expect(response.StatusCode).To(Equal(http.StatusBadRequest))
		}
	})
})
