package ibiscli

import (
	"context"
	"fmt"

	"github.com/google/uuid"
)

type keyIdempotencyCommand struct {
	Count int `arg:"--count" default:"1" help:"number of keys"`
}

// Description returns what the command is for, for its help.
func (keyIdempotencyCommand) Description() string {
	return "Makes an idempotency key, a UUID of version 7, whose time lets a new owner tell that a request can't have run before."
}

func (*keyIdempotencyCommand) examples() string {
	return `  ibisridge key idempotency
  curl -X POST -H "Idempotency-Key: $(ibisridge key idempotency)" http://127.0.0.1:8080/orders`
}

func (c *keyIdempotencyCommand) run(_ context.Context, t Terminal) error {
	if c.Count < 1 {
		return usageError("--count: %d must be 1 or more", c.Count)
	}
	for range c.Count {
		key, err := uuid.NewV7()
		if err != nil {
			return err
		}
		_, _ = fmt.Fprintln(t.Out, key)
	}
	return nil
}
