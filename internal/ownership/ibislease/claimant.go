package ibislease

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	// MaxSuspects is the greatest number of suspects that a claimant processes at once.
	MaxSuspects = 4096
	// MaxDeathsBatch is the greatest number of members that one commit declares dead.
	MaxDeathsBatch = 190
	// claimRetentionTerms is the number of terms after which a claim is dropped unless its suspect is reported again.
	claimRetentionTerms = 5
	// retriesPerHeartbeat is the number of times per heartbeat period that a claimant repeats its requests for promises.
	retriesPerHeartbeat = 4
	// batchDelayDivisor divides the heartbeat period into the time for which a commit waits for more members.
	batchDelayDivisor = 8
)

// Claimant declares lapsed members dead, many in one commit.
//
// It reads the row of each suspect, collects promises from the row's witnesses and commits the suspect to its deaths row.
type Claimant struct {
	terms     Terms
	self      ibisid.Member
	claims    map[ibisid.Member]*claim
	shards    map[string]*deathsShard
	commits   uint64
	reads     uint64
	maxClaims int
}

// claim is the state of one suspect: its row as last read, and the witnesses that promised not to renew its lease.
type claim struct {
	member ibisid.Member
	// lastReported is the time of the last SuspectEvent for the member.
	lastReported time.Time
	// notBefore is the time until which the claim waits for coordinators of better rank.
	notBefore time.Time
	row       Row
	version   ibisplatform.Version
	// rowReadAt is the time at which this version of the row was first read.
	rowReadAt          time.Time
	promisedBy         []ibisid.Member
	nextRead           time.Time
	nextPromiseRequest time.Time
}

// deathsShard is the state of one deaths row; loaded is set once the row was read.
type deathsShard struct {
	deaths     Deaths
	version    ibisplatform.Version
	loaded     bool
	nextRead   time.Time
	nextCommit time.Time
	prunable   []ibisid.Member
}

// NewClaimant returns a claimant for the member self.
//
// No other claimant may ever have the same member, earlier processes of the node included, since the member makes the commit
// ids unique.
func NewClaimant(terms Terms, self ibisid.Member) *Claimant {
	return &Claimant{
		terms:     terms,
		self:      self,
		claims:    make(map[ibisid.Member]*claim),
		shards:    make(map[string]*deathsShard),
		maxClaims: MaxSuspects,
	}
}

// Suspects returns the number of suspects that the claimant processes.
func (c *Claimant) Suspects() int { return len(c.claims) }

// Update handles a SuspectEvent, ReadEvent, PromisesEvent, CommitResultEvent, CommitUnknownEvent, PrunableEvent or TickEvent.
//
// Only a TickEvent returns effects, so that everything that arrives between two ticks is processed in one batch.
func (c *Claimant) Update(event Event, now time.Time) []Effect {
	switch e := event.(type) {
	case SuspectEvent:
		c.addSuspects(e, now)
	case ReadEvent:
		c.applyRows(e, now)
	case PromisesEvent:
		c.addPromises(e)
	case PrunableEvent:
		c.setPrunable(e)
	case CommitResultEvent, CommitUnknownEvent:
		c.scheduleReread(now)
	case TickEvent:
		return c.advanceClaims(now)
	}
	return nil
}

func (c *Claimant) addSuspects(e SuspectEvent, now time.Time) {
	for _, m := range e.Members {
		existing, ok := c.claims[m]
		if ok {
			existing.lastReported = now
			continue
		}
		if len(c.claims) >= c.maxClaims {
			return
		}
		c.claims[m] = &claim{
			member:       m,
			lastReported: now,
			notBefore:    now.Add(e.Delay),
		}
	}
}

// addPromises records which witnesses promised. A claim keeps the promises of at most four times WitnessCount witnesses, which
// bounds its memory.
func (c *Claimant) addPromises(e PromisesEvent) {
	for _, m := range e.Members {
		claim, ok := c.claims[m]
		if ok && !slices.Contains(claim.promisedBy, e.Witness) && len(claim.promisedBy) < 4*WitnessCount {
			claim.promisedBy = append(claim.promisedBy, e.Witness)
		}
	}
}

// applyRows applies member and deaths rows. It ignores rows that can't be decoded and member rows that are not newer than
// the one last read, and applies a deaths row only if it is newer or the first.
func (c *Claimant) applyRows(e ReadEvent, now time.Time) {
	byName := make(map[string][]*claim, len(c.claims))
	for _, m := range c.sortedSuspects() {
		key := RowKey(m.Name)
		byName[key] = append(byName[key], c.claims[m])
	}
	for _, row := range e.Rows {
		for _, claim := range byName[row.Key] {
			claim.applyRow(row, now)
		}
		if s := c.shards[row.Key]; s != nil && (!s.loaded || row.Version > s.version) {
			s.applyRow(row)
		}
	}
}

func (c *claim) applyRow(row ibisplatform.Row, now time.Time) {
	if row.Version <= c.version {
		return
	}
	content, err := DecodeRow(row.Value)
	if err != nil {
		return
	}
	c.row = content
	c.version = row.Version
	c.rowReadAt = now
}

func (s *deathsShard) applyRow(row ibisplatform.Row) {
	deaths, err := DecodeDeaths(row.Value)
	if err != nil {
		return
	}
	s.deaths = deaths
	s.version = row.Version
	s.loaded = true
}

// scheduleReread makes the next tick read all rows again. The outcome of a commit is taken from the rows alone, whatever the
// answer to the commit was.
func (c *Claimant) scheduleReread(now time.Time) {
	for _, s := range c.shards {
		s.nextRead = now
	}
	for _, claim := range c.claims {
		claim.nextRead = now
	}
}

func (c *Claimant) setPrunable(e PrunableEvent) {
	for _, s := range c.shards {
		s.prunable = slices.Clone(e.Members)
	}
}

func (c *Claimant) sortedSuspects() []ibisid.Member {
	return slices.SortedFunc(maps.Keys(c.claims), compareMembers)
}

func (c *Claimant) retryInterval() time.Duration { return c.terms.Heartbeat / retriesPerHeartbeat }

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
