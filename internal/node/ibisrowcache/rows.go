package ibisrowcache

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisgossip"
	"github.com/ibisridge/ibisridge/internal/peer/ibismember"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Rows holds a node's copies of the coordination rows, its view. It is safe for concurrent use.
type Rows struct {
	self  ibismember.Node
	timer ibistimer.Service

	mu          sync.Mutex
	core        *ibisgossip.Gossiper
	subscribers []subscriber
	queue       []delivery
	delivering  bool
	links       links
	addresses   map[ibisid.NodeName]string
	send        func(to string, message ibisgossip.Message)
}

type subscriber struct {
	prefix string
	notify func(ibisplatform.Row)
}

// delivery is a row for all subscribers of its prefix, or, if only is set, for one new subscriber.
type delivery struct {
	row  ibisplatform.Row
	only *subscriber
}

// Option configures Rows.
type Option func(*Rows)

// WithSelf sets the node that holds the view; the default is a node without a name, which has no neighbours.
func WithSelf(self ibismember.Node) Option { return func(r *Rows) { r.self = self } }

// WithTimer sets the timer service; the default uses the system clock.
func WithTimer(timer ibistimer.Service) Option { return func(r *Rows) { r.timer = timer } }

// New returns Rows without any copies.
func New(options ...Option) *Rows {
	r := &Rows{
		timer:     ibistimer.New(),
		addresses: make(map[ibisid.NodeName]string),
		send:      func(string, ibisgossip.Message) {},
	}
	for _, option := range options {
		option(r)
	}
	r.core = ibisgossip.New(ibisgossip.NewView(r.self.Place.Region))
	r.links = newLinks(neighbour(r.self))
	return r
}

// Subscribe calls notify with each row in the view whose key has the prefix, and then with each newer one.
func (r *Rows) Subscribe(prefix string, notify func(ibisplatform.Row)) {
	s := subscriber{
		prefix: prefix,
		notify: notify,
	}
	r.mu.Lock()
	r.subscribers = append(r.subscribers, s)
	for i := range ibisgossip.Buckets {
		for _, row := range r.core.View().Bucket(i, r.self.Place.Region) {
			r.queue = append(r.queue, delivery{
				row:  tableRow(row),
				only: &s,
			})
		}
	}
	r.mu.Unlock()
	r.deliver()
}

// Get returns the copy of the row with the key, and whether there is one.
func (r *Rows) Get(key string) (ibisplatform.Row, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, ok := r.core.View().Get(key)
	return tableRow(row), ok
}

// Bytes returns the total size of the copies in bytes.
func (r *Rows) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.View().Bytes()
}

// Count returns the number of copies.
func (r *Rows) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.View().Rows()
}

// Publish applies rows that the node read or committed, calls the subscribers with the newer ones and sends these to the
// neighbours.
func (r *Rows) Publish(rows ...ibisplatform.Row) {
	received := make([]ibisgossip.Row, len(rows))
	for i, row := range rows {
		received[i] = ibisgossip.Row{
			Key:      row.Key,
			Version:  row.Version,
			Value:    row.Value,
			CommitID: row.CommitID,
		}
	}
	r.update(ibisgossip.LocalRowsEvent{
		Rows: received,
	})
}

// update passes the event to the core, sends the resulting messages and calls the subscribers.
func (r *Rows) update(event ibisgossip.Event) {
	r.mu.Lock()
	effects := r.core.Update(event, r.timer.Now())
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibisgossip.RowsChangedEffect:
			for _, row := range e.Rows {
				r.queue = append(r.queue, delivery{
					row: tableRow(row),
				})
			}
		case ibisgossip.SendEffect:
			r.send(r.addresses[e.To], e.Message)
		}
	}
	r.mu.Unlock()
	r.deliver()
}

// deliver calls the subscribers with the queued rows. Only one goroutine delivers at a time; it also delivers the rows that
// others add meanwhile.
func (r *Rows) deliver() {
	for {
		d, subscribers, ok := r.next()
		if !ok {
			return
		}
		for _, s := range subscribers {
			if strings.HasPrefix(d.row.Key, s.prefix) {
				s.notify(d.row)
			}
		}
		r.mu.Lock()
		r.delivering = false
		r.mu.Unlock()
	}
}

func (r *Rows) next() (delivery, []subscriber, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.delivering || len(r.queue) == 0 {
		return delivery{}, nil, false
	}
	d := r.queue[0]
	r.queue = r.queue[1:]
	r.delivering = true
	if d.only != nil {
		return d, []subscriber{*d.only}, true
	}
	return d, r.subscribers, true
}

func tableRow(row ibisgossip.Row) ibisplatform.Row {
	return ibisplatform.Row{
		Key:      row.Key,
		Value:    row.Value,
		Version:  row.Version,
		CommitID: row.CommitID,
	}
}

func neighbour(n ibismember.Node) ibisgossip.Neighbour {
	return ibisgossip.Neighbour{
		Name:  n.Name,
		Place: n.Place,
	}
}

// tickPeriod is the time between the ticks on which the core sends its pending messages.
const tickPeriod = 100 * time.Millisecond

// Run replicates rows until the context ends and returns nil; the directory lists the live nodes.
func (r *Rows) Run(ctx context.Context, caller ibismember.Caller, directory ibismember.Directory) error {
	sender := newSender(ctx, r.self.Name, caller)
	r.mu.Lock()
	r.send = sender.send
	r.mu.Unlock()
	known := uint64(0)
	every := r.timer.Every(tickPeriod, func(now time.Time) {
		live, generation := directory.Live(known)
		if len(live) > 0 {
			known = generation
		}
		r.updateLinks(live, now)
		r.update(ibisgossip.TickEvent{})
	})
	defer every.Stop()
	<-ctx.Done()
	return nil
}
