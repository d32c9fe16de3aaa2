package ibiscapacity

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/measure/ibiscost"
	"github.com/ibisridge/ibisridge/internal/node/ibisdocsync"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrowcache"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisgossip"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
)

const (
	// warmCalls let both ends learn the types of a stream.
	warmCalls = 20
	calls     = 2_000
)

// Call is what one control call over a standing loopback connection costs.
type Call struct {
	// Name names the call.
	Name string
	// Bytes is what both ends write, without the headers of TCP and IP.
	Bytes float64
	// Processor is the processor time of both ends.
	Processor time.Duration
}

// documentCalls answers an exchange of document versions as a node does.
type documentCalls struct{}

// Exchange answers with the version that it was told.
func (documentCalls) Exchange(args, reply *ibisdocsync.HintArgs) error {
	*reply = *args
	return nil
}

// MeasureCalls measures the control calls of a node at rest, and those that carry rows.
func MeasureCalls(ctx context.Context) ([]Call, error) {
	s := newState(Sizes[0])
	n := newNode(s)
	doc, err := document(s.slots)
	if err != nil {
		return nil, err
	}
	n.rows.Publish(s.rows[ownRow+1:]...)
	if err := n.own(doc); err != nil {
		return nil, err
	}
	defer n.stop()
	server := ibismember.NewServer(http.NotFoundHandler())
	n.manager.Register(server)
	n.rows.Register(server)
	server.Register("Document", documentCalls{})
	web := httptest.NewServer(server)
	defer web.Close()
	defer server.Close()
	var measured []Call
	for _, c := range n.controlCalls() {
		m, err := c.measure(ctx, web.Listener.Addr().String())
		if err != nil {
			return nil, err
		}
		measured = append(measured, m)
	}
	return measured, nil
}

// controlCall is a call that is measured.
type controlCall struct {
	name   string
	method string
	args   func(i int) any
	reply  func() any
}

func (n *node) controlCalls() []controlCall {
	from := n.state.members[1].Member
	exchange := func(message func(i int) ibisgossip.Message) func(int) any {
		return func(i int) any {
			return &ibisrowcache.ExchangeArgs{
				From:    from.Name,
				Message: message(i),
			}
		}
	}
	rowReply := func() any { return &ibisrowcache.None{} }
	return []controlCall{
		{
			name:   "heartbeat",
			method: "Ownership.Heartbeat",
			args: func(int) any {
				return ibisowner.HeartbeatArgs{
					Holder:  from,
					Witness: n.manager.Self().Member,
					Sent:    time.Hour,
				}
			},
			reply: func() any { return &ibisowner.HeartbeatReply{} },
		},
		{
			name:   "document versions",
			method: "Document.Exchange",
			args: func(int) any {
				return &ibisdocsync.HintArgs{
					From:    from.Name,
					Version: "000000000000123456-018c0000-0000-7000-8000-000000000001",
				}
			},
			reply: func() any { return &ibisdocsync.HintArgs{} },
		},
		{
			name:   "rows: root of the digests",
			method: "Rows.Exchange",
			args:   exchange(func(int) ibisgossip.Message { return ibisgossip.Message{Root: 1 << 63} }),
			reply:  rowReply,
		},
		{
			name:   "rows: an offer",
			method: "Rows.Exchange",
			args: exchange(func(i int) ibisgossip.Message {
				return ibisgossip.Message{Offers: []ibisgossip.Head{{
					Key:     ibislease.RowKey(ibisid.NodeName(fmt.Sprintf("node-%05d", i))),
					Version: 1,
				}}}
			}),
			reply: rowReply,
		},
		{
			name:   "rows: a member row",
			method: "Rows.Exchange",
			args: exchange(func(i int) ibisgossip.Message {
				row := n.state.rows[1+i%(len(n.state.rows)-1)]
				return ibisgossip.Message{Rows: []ibisgossip.Row{{
					Key:      row.Key,
					Version:  row.Version,
					Value:    row.Value,
					CommitID: row.CommitID,
				}}}
			}),
			reply: rowReply,
		},
	}
}

// measure makes the call many times over one connection.
func (c controlCall) measure(ctx context.Context, address string) (Call, error) {
	pool := ibismember.NewPool(nil)
	defer pool.Close()
	run := func(count int) (err error) {
		for i := range count {
			if err = pool.Call(ctx, address, c.method, c.args(i), c.reply()); err != nil {
				return fmt.Errorf("%s: %w", c.name, err)
			}
		}
		return nil
	}
	if err := run(warmCalls); err != nil {
		return Call{}, err
	}
	before := pool.BytesSent() + pool.BytesReceived()
	var err error
	took := ibiscost.Processor(func() { err = run(calls) })
	return Call{
		Name:      c.name,
		Bytes:     float64(pool.BytesSent()+pool.BytesReceived()-before) / calls,
		Processor: took / calls,
	}, err
}
