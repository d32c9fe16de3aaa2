package ibismove

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

const (
	defaultFinishTimeout   = 10 * time.Second
	defaultHandOverTimeout = 2 * time.Second
	commitTimeout          = 2 * time.Second
	retryDelay             = 300 * time.Millisecond
)

type state int

const (
	stateStopping state = iota
	stateHandingOver
	stateCommitting
	stateReadingPage
	stateWaitingToRetry
	stateDone
)

// IDs generates unique commit ids.
type IDs interface {
	// Next returns an id that was never used before.
	Next() string
}

// Batch is the source side of the moves of one page. It is not safe for concurrent use.
type Batch struct {
	self            ibisid.Member
	page            *ibisslot.Page
	sequence        uint64
	ids             IDs
	finishTimeout   time.Duration
	handOverTimeout time.Duration
	transfers       []Transfer
	idle            map[Unit]bool
	acked           map[ibisid.Member]bool
	state           state
	deadline        time.Time
	commit          ibisplatform.Commit
	nextPage        *ibisslot.Page
	cancelRequested bool
	fencing         bool
}

// Option configures a Batch.
type Option func(*Batch)

// WithFinishTimeout bounds the wait for running requests. It must cover the longest request deadline; the default is 10 s.
func WithFinishTimeout(d time.Duration) Option { return func(b *Batch) { b.finishTimeout = d } }

// WithHandOverTimeout bounds the wait for the targets to acknowledge the hand-over; the default is 2 s.
func WithHandOverTimeout(d time.Duration) Option { return func(b *Batch) { b.handOverTimeout = d } }

// NewBatch returns a batch and its first effects. The sequence must be higher than that of every earlier batch of the source.
func NewBatch(now time.Time, self ibisid.Member, page *ibisslot.Page, transfers []Transfer, sequence uint64, ids IDs, options ...Option) (*Batch, []Effect) {
	b := &Batch{
		self:            self,
		page:            page,
		sequence:        sequence,
		ids:             ids,
		finishTimeout:   defaultFinishTimeout,
		handOverTimeout: defaultHandOverTimeout,
		idle:            map[Unit]bool{},
		acked:           map[ibisid.Member]bool{self: true},
	}
	for _, option := range options {
		option(b)
	}
	b.transfers = compatibleTransfers(page, self, transfers)
	b.deadline = now.Add(b.finishTimeout)
	if len(b.transfers) == 0 {
		b.state = stateDone
		return b, nil
	}
	return b, []Effect{StopEffect{Transfers: slices.Clone(b.transfers)}}
}

// compatibleTransfers returns the transfers that can be committed together. An override starts or ends only if the slot of
// the key stays: otherwise a key whose own transfer is cancelled would have to move with the slot.
func compatibleTransfers(page *ibisslot.Page, self ibisid.Member, transfers []Transfer) []Transfer {
	var keys, slots []Transfer
	leaving := map[int]bool{}
	for _, t := range transfers {
		if !t.Unit.Hot && t.Target != self && t.possible(page, self) {
			slots = append(slots, t)
			leaving[t.Unit.Position] = true
		}
	}
	for _, t := range transfers {
		if !t.Unit.Hot || !t.possible(page, self) {
			continue
		}
		_, hasOverride := page.Override(t.Unit.Key)
		if hasOverride && t.Target != self || !leaving[page.Position(t.Unit.Key)] {
			keys = append(keys, t)
		}
	}
	return append(keys, slots...)
}

// Done reports whether the batch has ended.
func (b *Batch) Done() bool { return b.state == stateDone }

// Next returns the time at which the batch needs a TickEvent, or the zero time if it has ended.
func (b *Batch) Next() time.Time {
	if b.Done() {
		return time.Time{}
	}
	return b.deadline
}

// Update handles an event that occurred at the given time and returns the effects to carry out.
func (b *Batch) Update(now time.Time, event Event) []Effect {
	if b.Done() {
		return nil
	}
	switch e := event.(type) {
	case LeaseExpiredEvent:
		return b.abandon()
	case IdleEvent:
		b.idle[e.Unit] = true
		return b.proceed(now)
	case HandOverAckedEvent:
		if e.Sequence == b.sequence && b.state == stateHandingOver {
			b.acked[e.Target] = true
		}
		return b.proceed(now)
	case TargetFailedEvent:
		return b.handleTargetFailed(now, e.Target)
	case CommitResultEvent:
		return b.handleCommitResult(now, e)
	case CommitUnknownEvent:
		return b.handleCommitUnknown(now, e)
	case PageReadEvent:
		return b.handlePageRead(now, e.Page)
	case TickEvent:
		if !now.Before(b.deadline) {
			return b.handleTimeout(now)
		}
	}
	return nil
}

// proceed starts the hand-over once no request is running, and the commit once every target has acknowledged the memory.
func (b *Batch) proceed(now time.Time) []Effect {
	switch {
	case b.state == stateStopping && b.all(b.isIdle):
		b.state = stateHandingOver
		b.deadline = now.Add(b.handOverTimeout)
		return append(b.handOver(), b.proceed(now)...)
	case b.state == stateHandingOver && b.all(b.isAcked):
		return b.commitTransfers(now)
	}
	return nil
}

func (b *Batch) isIdle(t Transfer) bool { return b.idle[t.Unit] }

func (b *Batch) isAcked(t Transfer) bool { return b.acked[t.Target] }

func (b *Batch) all(f func(Transfer) bool) bool {
	return !slices.ContainsFunc(b.transfers, func(t Transfer) bool { return !f(t) })
}

func (b *Batch) handOver() []Effect {
	var effects []Effect
	for _, target := range b.remoteTargets(b.transfers) {
		effects = append(effects, HandOverEffect{
			Target:    target,
			Page:      b.page.ID(),
			Sequence:  b.sequence,
			Transfers: b.transfersTo(b.transfers, target),
		})
	}
	return effects
}

// remoteTargets returns the targets other than the source, in order of their first unit.
func (b *Batch) remoteTargets(transfers []Transfer) []ibisid.Member {
	var targets []ibisid.Member
	for _, t := range transfers {
		if t.Target != b.self && !slices.Contains(targets, t.Target) {
			targets = append(targets, t.Target)
		}
	}
	return targets
}

func (b *Batch) transfersTo(transfers []Transfer, target ibisid.Member) []Transfer {
	var out []Transfer
	for _, t := range transfers {
		if t.Target == target {
			out = append(out, t)
		}
	}
	return out
}
