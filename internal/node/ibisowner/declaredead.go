package ibisowner

import (
	"context"
	"fmt"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibislease"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// declareOwnIncarnationDead declares the node's own earlier incarnation dead, because the platform guarantees that its
// process has ended.
func (m *Manager) declareOwnIncarnationDead(former ibisid.Member) {
	m.spawn(tableTimeout, func(ctx context.Context) outcome {
		if err := m.DeclareDead(ctx, former); err != nil {
			m.log.Warn("could not declare the earlier incarnation of this node dead", zap.Error(err))
		}
		return nil
	})
}

// DeclareDead declares a member dead without the promises of its witnesses. The caller must be certain that the
// member's process has ended: a member that still runs would own its slots besides their new owners. It returns an
// error if the table does not answer, the incarnation has no row or another writer changed one of the rows; the call
// can then be repeated.
func (m *Manager) DeclareDead(ctx context.Context, member ibisid.Member) error {
	row, found, err := m.read(ctx, ibislease.RowKey(member.Name))
	if err != nil {
		return fmt.Errorf("declare %s ended: %w", member.Name, err)
	}
	content, err := ibislease.DecodeRow(row.Value)
	if err != nil || !found || content.Member != member {
		return fmt.Errorf("declare %s ended: the incarnation has no row", member.Name)
	}
	key := ibislease.DeathsKey(content.Place.Domain, member.Name)
	deathsRow, _, err := m.read(ctx, key)
	if err != nil {
		return fmt.Errorf("declare %s ended: %w", member.Name, err)
	}
	deaths, err := ibislease.DecodeDeaths(deathsRow.Value)
	if err != nil {
		return fmt.Errorf("declare %s ended: %w", member.Name, err)
	}
	return m.commitDeath(ctx, member, row.Version, key, deathsRow.Version, deaths)
}

func (m *Manager) commitDeath(ctx context.Context, member ibisid.Member, rowVersion ibisplatform.Version, key string, deathsVersion ibisplatform.Version, deaths ibislease.Deaths) error {
	result, err := m.commit(ctx, ibisplatform.Commit{
		ID: uuid.NewString(),
		Conditions: []ibisplatform.Condition{
			{
				Key:     ibislease.RowKey(member.Name),
				Version: rowVersion,
			},
			{
				Key:     key,
				Version: deathsVersion,
			},
		},
		Writes: []ibisplatform.Write{{
			Key:   key,
			Value: deaths.With([]ibisid.Member{member}).Encode(),
		}},
	})
	if err != nil {
		return fmt.Errorf("declare %s ended: %w", member.Name, err)
	}
	if result.Status != ibisplatform.CommitApplied {
		return fmt.Errorf("declare %s ended: %s changed meanwhile", member.Name, result.Conflict)
	}
	return nil
}
