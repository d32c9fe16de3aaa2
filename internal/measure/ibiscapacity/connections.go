package ibiscapacity

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/measure/ibiscost"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
)

// ConnectionCounts are the numbers of other nodes that standing connections are measured with.
var ConnectionCounts = []int{100, 400, 1_600}

// Connections is what idle connections for forwarded requests cost, both ends in one process.
type Connections struct {
	// Nodes is the number of other nodes, one connection each.
	Nodes int
	// Heap is the live memory of one connection's two ends, in bytes.
	Heap float64
	// Stacks is the memory of their goroutines, in bytes.
	Stacks float64
}

// MeasureConnections forwards one request to each of that many nodes and measures what stays.
func MeasureConnections(ctx context.Context, nodes int) (Connections, error) {
	var servers []*httptest.Server
	defer func() {
		for _, s := range servers {
			s.Close()
		}
	}()
	answer := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") })
	for range nodes {
		servers = append(servers, httptest.NewServer(answer))
	}
	forwarder := ibismember.NewForwarder(nil, ibistimer.New(), 2*nodes)
	defer forwarder.Close()
	var err error
	stacks := stackBytes()
	heap := ibiscost.Grown(func() {
		for _, s := range servers {
			if err = forward(ctx, forwarder, s.Listener.Addr().String()); err != nil {
				return
			}
		}
	})
	return Connections{
		Nodes:  nodes,
		Heap:   float64(heap) / float64(nodes),
		Stacks: float64(stackBytes()-stacks) / float64(nodes),
	}, err
}

func forward(ctx context.Context, forwarder *ibismember.Forwarder, address string) error {
	result := forwarder.Send(ctx, address, ibisbackend.Request{
		Method: http.MethodGet,
		URI:    "/",
		Host:   "node",
	})
	if result.Answer == nil {
		return fmt.Errorf("forward to %s: %w", address, result.Err)
	}
	body := result.Answer.Body()
	defer func() { _ = body.Close() }()
	_, err := io.Copy(io.Discard, body)
	return err
}

func stackBytes() int {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return int(m.StackInuse)
}
