package ibisfleet

import (
	"context"
	"errors"
	"reflect"
	"strings"
	"time"

	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/node/ibisidempotencydriver"
	"github.com/ibisridge/ibisridge/internal/node/ibisowner"
	"github.com/ibisridge/ibisridge/internal/node/ibisrowcache"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

const (
	slotsPerServer = 10
	ticketKeyBytes = 32
	leftCheck      = 100 * time.Millisecond
)

var errUnreachable = errors.New("node unreachable")

// node is one ownership runtime, which is its own timer, starter, gate and caller.
type node struct {
	fleet    *Fleet
	server   Server
	manager  *ibisowner.Manager
	rows     *ibisrowcache.Rows
	receiver reflect.Value
	dead     bool
	stop     func()
}

func (f *Fleet) add(server Server) {
	n := &node{
		fleet:  f,
		server: server,
		rows:   ibisrowcache.New(),
	}
	memory := ibisidempotencydriver.New(ibisidempotency.Config{
		TicketKey: make([]byte, ticketKeyBytes),
	}, f.store, n)
	n.manager = ibisowner.New(ibisowner.Config{
		Name:        server.Name,
		Place:       server.Place,
		PeerAddress: string(server.Name),
	}, ibisowner.Dependencies{
		Table:  f.store,
		Rows:   n.rows,
		Peers:  n,
		Gate:   n,
		Memory: memory,
		Timer:  n,
		Log:    zap.NewNop(),
	}, ibisowner.WithStarter(n))
	n.manager.Register(n)
	f.nodes = append(f.nodes, n)
	n.rows.Subscribe("", n.pass)
	n.stop = n.manager.Start(f.ctx)
	n.manager.SetDocument(f.document)
}

func (n *node) kill() {
	if !n.dead {
		n.dead = true
		n.stop()
	}
}

// whenLeft ends the process once the node has handed its slots over.
func (n *node) whenLeft() {
	n.After(leftCheck, func(time.Time) {
		if n.manager.HasLeft() {
			n.kill()
			return
		}
		n.whenLeft()
	})
}

// pass spreads a row that the node published to all others.
func (n *node) pass(row ibisplatform.Row) {
	f := n.fleet
	if f.spread[row.Key] >= row.Version {
		return
	}
	f.spread[row.Key] = row.Version
	for _, other := range f.nodes {
		if other != n {
			other.later(func() { other.rows.Publish(row) })
		}
	}
}

func (n *node) do(f func()) {
	if !n.dead {
		f()
	}
}

func (n *node) later(f func()) {
	n.fleet.timer.After(n.fleet.delay(), func(time.Time) { n.do(f) })
}

// Start runs a task of the manager after a short delay.
func (n *node) Start(_ bool, task func()) { n.later(task) }

// Now returns the fake time.
func (n *node) Now() time.Time { return n.fleet.timer.Now() }

// After calls f once after the delay, unless the process has ended.
func (n *node) After(d time.Duration, f func(time.Time)) ibistimer.Subscription {
	return n.fleet.timer.After(d, func(now time.Time) { n.do(func() { f(now) }) })
}

// Every calls f after each period while the process runs.
func (n *node) Every(d time.Duration, f func(time.Time)) ibistimer.Subscription {
	return n.fleet.timer.Every(d, func(now time.Time) { n.do(func() { f(now) }) })
}

// LatestAnnouncement returns the announcement of the backend server.
func (n *node) LatestAnnouncement() (ibisbackend.Announcement, bool) {
	return ibisbackend.Announcement{
		Service:      n.server.Service,
		Slots:        slotsPerServer,
		Weight:       1,
		ChecksGrants: n.server.ChecksGrants,
		State:        ibisbackend.StateServing,
	}, true
}

// SetDomain does nothing: the fleet has no gates.
func (*node) SetDomain(ibisadmit.DomainEvent) {}

// Register takes the methods that other nodes call.
func (n *node) Register(_ string, receiver any) { n.receiver = reflect.ValueOf(receiver) }

// Call runs a control method of another node of the fleet.
func (n *node) Call(_ context.Context, address, method string, args, reply any) error {
	to := n.fleet.find(ibisid.NodeName(address))
	if to == nil {
		return errUnreachable
	}
	_, name, _ := strings.Cut(method, ".")
	f := to.receiver.MethodByName(name)
	answer := reflect.Zero(f.Type().In(1))
	if reply != nil {
		answer = reflect.ValueOf(reply)
	}
	err, _ := f.Call([]reflect.Value{reflect.ValueOf(args), answer})[0].Interface().(error)
	return err
}
