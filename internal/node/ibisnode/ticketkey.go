package ibisnode

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/google/uuid"

	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	ticketKeyRow   = "secret/tickets"
	ticketKeyBytes = 32
)

// loadTicketKey returns the key that signs tickets. All nodes share it through a row of the table; the first node writes
// the row.
func loadTicketKey(ctx context.Context, table ibisplatform.Table) ([]byte, error) {
	newKey := make([]byte, ticketKeyBytes)
	_, _ = rand.Read(newKey)
	for {
		row, found, err := table.Read(ctx, ticketKeyRow)
		if err != nil {
			return nil, fmt.Errorf("read the ticket key: %w", err)
		}
		if found {
			return row.Value, nil
		}
		_, err = table.Commit(ctx, ibisplatform.Commit{
			ID: uuid.NewString(),
			Conditions: []ibisplatform.Condition{{
				Key: ticketKeyRow,
			}},
			Writes: []ibisplatform.Write{{
				Key:   ticketKeyRow,
				Value: newKey,
			}},
		})
		if err != nil {
			return nil, fmt.Errorf("write the ticket key: %w", err)
		}
	}
}
