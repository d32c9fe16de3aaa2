package ibisidempotency

import "time"

const (
	defaultRetention      = 24 * time.Hour
	defaultSkew           = 2 * time.Second
	defaultMaxBytes       = 16 << 20
	defaultMaxAnswerBytes = 16 << 10
	maxKeyBytes           = 200
	entryOverheadBytes    = 256
	fullRetryAfter        = time.Second
	runningRetryAfter     = 100 * time.Millisecond
	movingRetryAfter      = 200 * time.Millisecond
	minTicketKeyBytes     = 16
)

// Config holds the limits and the ticket key of a memory.
type Config struct {
	// Retention is how long a finished request is kept; zero means 24 hours.
	Retention time.Duration
	// Skew is how far the time in a UUID may be ahead of the node's clock; zero means 2 seconds.
	Skew time.Duration
	// NodeSkew is the greatest difference between two nodes' clocks; zero means 2 seconds.
	NodeSkew time.Duration
	// MaxBytes is the limit of the memory's size in bytes; zero means 16 MiB.
	MaxBytes int
	// MaxAnswer is the limit of the kept headers and body of one answer in bytes; zero means 16 KiB.
	MaxAnswer int
	// TicketKey is the secret that signs tickets, the same at every node; it has at least 16 bytes.
	TicketKey []byte
}

func (c Config) withDefaults() Config {
	if c.Retention <= 0 {
		c.Retention = defaultRetention
	}
	if c.Skew <= 0 {
		c.Skew = defaultSkew
	}
	if c.NodeSkew <= 0 {
		c.NodeSkew = defaultSkew
	}
	if c.MaxBytes <= 0 {
		c.MaxBytes = defaultMaxBytes
	}
	if c.MaxAnswer <= 0 {
		c.MaxAnswer = defaultMaxAnswerBytes
	}
	return c
}
