package ibislease

import (
	"fmt"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/base/ibisset"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// round collects the requests of all claims in one tick, so that each witness gets one request and each deaths row one commit.
type round struct {
	readKeys        ibisset.Set[string]
	promiseRequests map[ibisid.Member][]ibisid.Member
	expired         map[string][]*claim
	dead            []ibisid.Member
}

// advanceClaims processes every claim and returns the reads, requests and commits that are due.
func (c *Claimant) advanceClaims(now time.Time) []Effect {
	r := round{
		readKeys:        ibisset.Of[string](),
		promiseRequests: make(map[ibisid.Member][]ibisid.Member),
		expired:         make(map[string][]*claim),
	}
	for _, m := range c.sortedSuspects() {
		c.advanceClaim(c.claims[m], &r, now)
	}
	c.dropUnusedShards()
	var effects []Effect
	if len(r.dead) > 0 {
		effects = append(effects, DeadEffect{Members: r.dead})
	}
	for _, key := range sortedKeys(r.expired) {
		effects = append(effects, c.commit(key, r.expired[key], now)...)
	}
	effects = append(effects, r.promiseRequestEffects()...)
	if len(r.readKeys) > 0 {
		c.reads++
		effects = append(effects, ReadEffect{
			Sequence: c.reads,
			Keys:     ibisset.Sorted(r.readKeys),
		})
	}
	return effects
}

// advanceClaim adds the requests of one claim that are due to the round: reads of its rows, promise requests, or the commit that
// declares the suspect dead.
//
// It drops a claim whose suspect is no longer reported, is dead, or has no row because the node's row is that of an earlier
// incarnation.
func (c *Claimant) advanceClaim(claim *claim, r *round, now time.Time) {
	if now.Before(claim.notBefore) {
		return
	}
	if now.Sub(claim.lastReported) > claimRetentionTerms*c.terms.Term {
		delete(c.claims, claim.member)
		return
	}
	if !now.Before(claim.nextRead) {
		claim.nextRead = now.Add(c.terms.Heartbeat)
		r.readKeys.Add(RowKey(claim.member.Name))
	}
	if claim.version == 0 {
		return
	}
	key := DeathsKey(claim.row.Place.Domain, claim.member.Name)
	s := c.deathsShard(key)
	if !now.Before(s.nextRead) {
		s.nextRead = now.Add(c.terms.Heartbeat)
		r.readKeys.Add(key)
	}
	switch {
	case !s.loaded:
	case claim.dead(s):
		r.dead = append(r.dead, claim.member)
		delete(c.claims, claim.member)
	case claim.row.Member != claim.member:
		delete(c.claims, claim.member)
	case c.expired(claim, now):
		r.expired[key] = append(r.expired[key], claim)
	case !claim.row.Direct && !now.Before(claim.nextPromiseRequest):
		claim.nextPromiseRequest = now.Add(c.retryInterval())
		r.addPromiseRequests(claim)
	}
}

// dead reports whether the rows show that the incarnation can never be valid again.
func (c *claim) dead(s *deathsShard) bool {
	if s.deaths.Has(c.member) {
		return true
	}
	if c.row.Member == c.member {
		return c.row.State == StateLeft
	}
	return c.row.Member.Incarnation > c.member.Incarnation
}

func (r *round) addPromiseRequests(claim *claim) {
	for _, w := range claim.row.Witnesses {
		if !slices.Contains(claim.promisedBy, w) {
			r.promiseRequests[w] = append(r.promiseRequests[w], claim.member)
		}
	}
}

func (r *round) promiseRequestEffects() []Effect {
	witnesses := make([]ibisid.Member, 0, len(r.promiseRequests))
	for w := range r.promiseRequests {
		witnesses = append(witnesses, w)
	}
	slices.SortFunc(witnesses, compareMembers)
	effects := make([]Effect, 0, len(witnesses))
	for _, w := range witnesses {
		effects = append(effects, PromiseRequestEffect{
			Witness: w,
			Members: r.promiseRequests[w],
		})
	}
	return effects
}

// expired reports whether the holder can no longer be valid under the row as read: a majority of its witnesses promised, or
// the row is direct and did not change for a term.
func (c *Claimant) expired(claim *claim, now time.Time) bool {
	if claim.row.Direct {
		return now.Sub(claim.rowReadAt) >= c.terms.Term || c.terms.mutation == mutateNoDirectWait
	}
	promises := 0
	for _, w := range claim.row.Witnesses {
		if slices.Contains(claim.promisedBy, w) {
			promises++
		}
	}
	switch c.terms.mutation {
	case mutateSkipPromise:
		return true
	case mutateOnePromise:
		return promises >= 1
	}
	return promises >= WitnessCount-1
}

// commit declares the members dead. The commit may be repeated at any time, since its conditions name the version of every
// row that it relies on.
func (c *Claimant) commit(key string, claims []*claim, now time.Time) []Effect {
	s := c.deathsShard(key)
	if s.nextCommit.IsZero() {
		s.nextCommit = now.Add(c.terms.Heartbeat / batchDelayDivisor)
	}
	if now.Before(s.nextCommit) && len(claims) < MaxDeathsBatch {
		return nil
	}
	s.nextCommit = now.Add(c.terms.Heartbeat / 2)
	claims = claims[:min(len(claims), MaxDeathsBatch)]
	members := make([]ibisid.Member, 0, len(claims))
	conditions := []ibisplatform.Condition{{
		Key:     key,
		Version: s.version,
	}}
	for _, claim := range claims {
		members = append(members, claim.member)
		conditions = append(conditions, ibisplatform.Condition{
			Key:     RowKey(claim.member.Name),
			Version: claim.version,
		})
	}
	c.commits++
	return []Effect{CommitEffect{Commit: ibisplatform.Commit{
		ID:         fmt.Sprintf("claim/%s/%d/%d", c.self.Name, c.self.Incarnation, c.commits),
		Conditions: conditions,
		Writes: []ibisplatform.Write{{
			Key:   key,
			Value: s.deaths.Without(s.prunable).With(members).Encode(),
		}},
	}}}
}

func (c *Claimant) deathsShard(key string) *deathsShard {
	s := c.shards[key]
	if s == nil {
		s = &deathsShard{}
		c.shards[key] = s
	}
	return s
}

// dropUnusedShards drops the state of all deaths rows when no claims are left.
func (c *Claimant) dropUnusedShards() {
	if len(c.claims) == 0 {
		clear(c.shards)
	}
}
