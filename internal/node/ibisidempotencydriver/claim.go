package ibisidempotencydriver

import (
	"context"
	"encoding/hex"
	"encoding/json"
	"time"

	"github.com/google/uuid"
	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

// ClaimPrefix is the prefix of the keys of all claim rows in the table.
const ClaimPrefix = "claim/"

const claimRetryDelay = 50 * time.Millisecond

// claimRow is the content of a claim row. It does not contain the idempotency key.
type claimRow struct {
	Slot string    `json:"slot"`
	At   time.Time `json:"at"`
}

// Claim commits the claim of a recorded request and returns its final phase; the request may be sent to the backend
// server only in phase ClaimRun. It retries while the table is unavailable, until the context ends.
func (m *Memory) Claim(ctx context.Context, slot ibisid.Slot, tenant ibisid.TenantName, idempotencyKey string) ibisidempotency.ClaimPhase {
	key := claimKey(slot, tenant, idempotencyKey)
	claim, effect := ibisidempotency.NewClaim(uuid.NewString())
	for {
		var event ibisidempotency.ClaimEvent
		switch e := effect.(type) {
		case ibisidempotency.ClaimCommitEffect:
			event = m.commitClaim(ctx, key, slot, e.CommitID)
		case ibisidempotency.ClaimReadEffect:
			event = m.readClaim(ctx, key)
		case ibisidempotency.ClaimEndEffect:
			return e.Phase
		}
		if ctx.Err() != nil {
			event = ibisidempotency.ClaimDeadlineEvent{}
		}
		claim, effect = claim.Update(event)
	}
}

func (m *Memory) commitClaim(ctx context.Context, key string, slot ibisid.Slot, commitID string) ibisidempotency.ClaimEvent {
	value, err := json.Marshal(claimRow{
		Slot: slot.String(),
		At:   m.timer.Now().UTC(),
	})
	if err != nil {
		panic("encode a claim: " + err.Error())
	}
	result, err := m.table.Commit(ctx, ibisplatform.Commit{
		ID: commitID,
		Conditions: []ibisplatform.Condition{{
			Key: key,
		}},
		Writes: []ibisplatform.Write{{
			Key:   key,
			Value: value,
		}},
	})
	if err != nil {
		waitBeforeRetry(ctx)
		return ibisidempotency.ClaimUnavailableEvent{}
	}
	if result.Status == ibisplatform.CommitApplied {
		return ibisidempotency.ClaimAppliedEvent{}
	}
	return ibisidempotency.ClaimConflictEvent{}
}

func (m *Memory) readClaim(ctx context.Context, key string) ibisidempotency.ClaimEvent {
	row, found, err := m.table.Read(ctx, key)
	if err != nil {
		waitBeforeRetry(ctx)
		return ibisidempotency.ClaimUnavailableEvent{}
	}
	return ibisidempotency.ClaimReadEvent{
		Found:    found,
		CommitID: row.CommitID,
	}
}

// claimKey returns the row key of a claim. It holds a hash, so that no text of a caller is stored in the table.
func claimKey(slot ibisid.Slot, tenant ibisid.TenantName, idempotencyKey string) string {
	sum := xxh3.HashString128(string(tenant) + "\x00" + idempotencyKey).Bytes()
	return ClaimPrefix + slot.String() + "/" + hex.EncodeToString(sum[:])
}

func waitBeforeRetry(ctx context.Context) {
	select {
	case <-ctx.Done():
	case <-time.After(claimRetryDelay):
	}
}
