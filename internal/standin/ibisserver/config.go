package ibisserver

import (
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
)

// Config is what a stand-in backend server is made of; zero values take the defaults.
type Config struct {
	// Name tells the server in its answers.
	Name string
	// Service is the service that the server announces.
	Service ibisid.ServiceName
	// Listen is the address to listen on; the default is a free port of the loopback address.
	Listen string
	// Node is the base URL of the node's local endpoint, empty for a server that does not announce itself.
	Node string
	// Slots is the number of requests that run at once; the default is 10.
	Slots int
	// Connections is the number of connections that the server accepts; the default is 130.
	Connections int
	// QueueLength is the number of requests that may wait for a slot before the server sheds load; the default is 20.
	QueueLength int
	// ServiceTime is how long a request runs; the default is 1 ms.
	ServiceTime time.Duration
	// ColdStart is the time over which a started server comes to bear all its slots; zero for none.
	ColdStart time.Duration
	// ColdSlots is the number of requests that a cold server bears at first; the default is 2.
	ColdSlots int
	// HideCold keeps the cold start out of announcements and load reports.
	HideCold bool
	// ChecksGrants makes the server refuse requests whose grant is stale or missing.
	ChecksGrants bool
	// Weight is the announced weight; the default is 1.
	Weight float64
	// Timer is the timer service; the default follows the machine's clock.
	Timer ibistimer.Service
}

const (
	defaultListen      = "127.0.0.1:0"
	defaultSlots       = 10
	defaultConnections = 130
	defaultQueueLength = 20
	defaultServiceTime = time.Millisecond
	defaultColdSlots   = 2
)

func (c Config) withDefaults() Config {
	c.Listen = or(c.Listen, defaultListen)
	c.Slots = or(c.Slots, defaultSlots)
	c.Connections = or(c.Connections, defaultConnections)
	c.QueueLength = or(c.QueueLength, defaultQueueLength)
	c.ServiceTime = or(c.ServiceTime, defaultServiceTime)
	c.ColdSlots = or(c.ColdSlots, defaultColdSlots)
	c.Weight = or(c.Weight, 1)
	if c.Timer == nil {
		c.Timer = ibistimer.New()
	}
	return c
}

func or[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
}
