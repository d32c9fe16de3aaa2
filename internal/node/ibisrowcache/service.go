package ibisrowcache

import (
	"context"
	"errors"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisgossip"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	serviceName = "Rows"
	callTimeout = 2 * time.Second
	// maxConcurrentSends limits the messages in flight. Rows of dropped messages are repaired by the digests that neighbours
	// exchange.
	maxConcurrentSends = 64
	// chunkBuckets is the number of buckets in one reply to a Copy call.
	chunkBuckets = 16
)

// ExchangeArgs is a message from a neighbour.
type ExchangeArgs struct {
	// From is the sending neighbour.
	From ibisid.NodeName
	// Message is the content of the message.
	Message ibisgossip.Message
}

// CopyArgs requests the rows of consecutive buckets.
type CopyArgs struct {
	// Region is the region of the requesting node.
	Region ibisid.RegionName
	// Bucket is the index of the first bucket.
	Bucket int
}

// CopyReply holds the rows of the requested buckets.
type CopyReply struct {
	// Rows are the rows of the buckets.
	Rows []ibisgossip.Row
	// Next is the first bucket of the next request, or 0 after the last bucket.
	Next int
}

// None is the reply of a control call that has none.
type None struct{}

// Service implements the control calls (net/rpc) about rows.
type Service struct{ rows *Rows }

// Register registers the control calls of the view at the server.
func (r *Rows) Register(server *ibismember.Server) { server.Register(serviceName, r.Service()) }

// Service returns the implementation of the control calls.
func (r *Rows) Service() *Service {
	return &Service{
		rows: r,
	}
}

// Exchange applies a neighbour's message and returns nil; answers are sent as separate messages.
func (s *Service) Exchange(args *ExchangeArgs, _ *None) error {
	r := s.rows
	now := r.timer.Now()
	r.mu.Lock()
	r.links.recordMessage(args.From, now)
	r.mu.Unlock()
	r.updateLinks(nil, now)
	r.update(ibisgossip.MessageEvent{
		From:    args.From,
		Message: args.Message,
	})
	return nil
}

// Copy replies with the rows of consecutive buckets, for a node that starts. It fails if the first bucket does not exist.
func (s *Service) Copy(args *CopyArgs, reply *CopyReply) error {
	if args.Bucket < 0 || args.Bucket >= ibisgossip.Buckets {
		return errors.New("no such bucket")
	}
	r := s.rows
	r.mu.Lock()
	defer r.mu.Unlock()
	end := min(args.Bucket+chunkBuckets, ibisgossip.Buckets)
	for i := args.Bucket; i < end; i++ {
		reply.Rows = append(reply.Rows, r.core.View().Bucket(i, args.Region)...)
	}
	if end < ibisgossip.Buckets {
		reply.Next = end
	}
	return nil
}

// sender sends messages to neighbours in the background.
type sender struct {
	ctx    context.Context
	self   ibisid.NodeName
	caller ibismember.Caller
	slots  chan struct{}
}

func newSender(ctx context.Context, self ibisid.NodeName, caller ibismember.Caller) *sender {
	return &sender{
		ctx:    ctx,
		self:   self,
		caller: caller,
		slots:  make(chan struct{}, maxConcurrentSends),
	}
}

// send starts sending the message, or drops it if maxConcurrentSends messages are in flight.
func (s *sender) send(to string, message ibisgossip.Message) {
	select {
	case s.slots <- struct{}{}:
	default:
		return
	}
	go func() {
		defer func() { <-s.slots }()
		ctx, cancel := context.WithTimeout(s.ctx, callTimeout)
		defer cancel()
		_ = s.caller.Call(ctx, to, serviceName+".Exchange", &ExchangeArgs{
			From:    s.self,
			Message: message,
		}, &None{})
	}()
}

// Copy copies all rows from the node at the address; it fails if a call to that node fails.
func (r *Rows) Copy(ctx context.Context, caller ibismember.Caller, address string) error {
	args := CopyArgs{
		Region: r.self.Place.Region,
	}
	for {
		var reply CopyReply
		if err := call(ctx, caller, address, &args, &reply); err != nil {
			return err
		}
		r.update(ibisgossip.LocalRowsEvent{
			Rows: reply.Rows,
		})
		if reply.Next <= args.Bucket {
			return nil
		}
		args.Bucket = reply.Next
	}
}

func call(ctx context.Context, caller ibismember.Caller, address string, args *CopyArgs, reply *CopyReply) error {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return caller.Call(ctx, address, serviceName+".Copy", args, reply)
}

// Scan copies the rows with the prefixes from the table; it fails with ibisplatform.ErrUnavailable if the table does not
// answer.
func (r *Rows) Scan(ctx context.Context, table ibisplatform.Table, prefixes ...string) error {
	for _, prefix := range prefixes {
		rows, err := table.Scan(ctx, prefix)
		if err != nil {
			return err
		}
		r.Publish(rows...)
	}
	return nil
}
