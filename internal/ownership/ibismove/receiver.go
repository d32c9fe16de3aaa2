package ibismove

import (
	"cmp"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

const (
	defaultQueueLength  = 256
	defaultQueueTimeout = 3 * time.Second
)

// Receiver is the target side of all moves to one member. It is not safe for concurrent use.
type Receiver struct {
	self         ibisid.Member
	queueLength  int
	queueTimeout time.Duration
	incoming     map[unitID]*incoming
	owned        map[unitID]ibisid.Token
}

type unitID struct {
	page ibisslot.PageID
	unit Unit
}

func idOf(page ibisslot.PageID, unit Unit) unitID {
	return unitID{
		page: page,
		unit: unit,
	}
}

// incoming is a unit whose memory was handed over but whose ownership is not committed yet.
type incoming struct {
	from     ibisid.Member
	sequence uint64
	token    ibisid.Token
	expires  time.Time
	queued   int
}

// ReceiverOption configures a Receiver.
type ReceiverOption func(*Receiver)

// WithQueueLength bounds the number of requests that wait for one unit; the default is 256.
func WithQueueLength(n int) ReceiverOption { return func(r *Receiver) { r.queueLength = n } }

// WithQueueTimeout bounds the time for which requests wait for a unit; the default is 3 s.
func WithQueueTimeout(d time.Duration) ReceiverOption {
	return func(r *Receiver) { r.queueTimeout = d }
}

// NewReceiver returns the receiver of a member that owns no units.
func NewReceiver(self ibisid.Member, options ...ReceiverOption) *Receiver {
	r := &Receiver{
		self:         self,
		queueLength:  defaultQueueLength,
		queueTimeout: defaultQueueTimeout,
		incoming:     map[unitID]*incoming{},
		owned:        map[unitID]ibisid.Token{},
	}
	for _, option := range options {
		option(r)
	}
	return r
}

// HandOver records that the memory of the units has arrived, and reports whether to store and acknowledge it. An older
// hand-over must not replace a newer one.
func (r *Receiver) HandOver(now time.Time, from ibisid.Member, e HandOverEffect) bool {
	if e.Target != r.self {
		return false
	}
	for _, t := range e.Transfers {
		id := idOf(e.Page, t.Unit)
		if old := r.incoming[id]; r.owned[id] > t.Token || old != nil && old.newerThan(t.Token, e.Sequence) {
			return false
		}
	}
	for _, t := range e.Transfers {
		id := idOf(e.Page, t.Unit)
		queued := 0
		if old := r.incoming[id]; old != nil {
			queued = old.queued
		}
		r.incoming[id] = &incoming{
			from:     from,
			sequence: e.Sequence,
			token:    t.Token,
			expires:  now.Add(r.queueTimeout),
			queued:   queued,
		}
	}
	return true
}

func (i *incoming) newerThan(token ibisid.Token, sequence uint64) bool {
	return i.token > token || i.token == token && i.sequence > sequence
}

// Queue reports whether a request may wait for a unit that is being moved to this member, and counts it if so.
func (r *Receiver) Queue(now time.Time, page ibisslot.PageID, unit Unit) bool {
	in := r.incoming[idOf(page, unit)]
	if in == nil || in.queued >= r.queueLength || !now.Before(in.expires) {
		return false
	}
	in.queued++
	return true
}

// RejectedUnit is a unit whose queued requests are to be answered as not run.
type RejectedUnit struct {
	// Page is the page of the unit.
	Page ibisslot.PageID
	// Unit is the slot or hot key.
	Unit Unit
}

// Cancel removes a hand-over and returns the units whose queued requests and memory must be dropped.
func (r *Receiver) Cancel(e CancelEffect) []RejectedUnit {
	var out []RejectedUnit
	for _, t := range e.Transfers {
		id := idOf(e.Page, t.Unit)
		if in := r.incoming[id]; in != nil && in.token == t.Token && in.sequence == e.Sequence {
			delete(r.incoming, id)
			out = append(out, RejectedUnit{
				Page: e.Page,
				Unit: t.Unit,
			})
		}
	}
	return out
}

// Expire returns the units whose queued requests exceeded the queue timeout. Their memory is kept until a page shows the owner.
func (r *Receiver) Expire(now time.Time) []RejectedUnit {
	var out []RejectedUnit
	for id, in := range r.incoming {
		if in.queued > 0 && !now.Before(in.expires) {
			in.queued = 0
			out = append(out, RejectedUnit{
				Page: id.page,
				Unit: id.unit,
			})
		}
	}
	slices.SortFunc(out, func(a, b RejectedUnit) int {
		return cmp.Or(a.Page.Compare(b.Page), cmp.Compare(a.Unit.Position, b.Unit.Position), cmp.Compare(a.Unit.Key, b.Unit.Key))
	})
	return out
}

// AdoptedUnit is a unit that this member now owns.
type AdoptedUnit struct {
	// Unit is the slot or hot key.
	Unit Unit
	// Token is the token under which the member owns it.
	Token ibisid.Token
	// Inherited reports whether the memory handed over is complete up to the start of the ownership under the token.
	Inherited bool
}

// Changes lists the units whose ownership a page changes for this member.
type Changes struct {
	// Adopted are the units that the member owns as of this page and whose queued requests may run.
	Adopted []AdoptedUnit
	// Rejected are the units that another member received and whose queued requests and memory must be dropped.
	Rejected []RejectedUnit
}

// ApplyPage applies a page of the table and returns the resulting changes. Pages must be passed in order of their versions.
func (r *Receiver) ApplyPage(page *ibisslot.Page) Changes {
	var c Changes
	for i := range page.Len() {
		r.applyAssignment(page, Unit{Position: i}, &c)
	}
	for _, o := range page.Overrides() {
		r.applyAssignment(page, hotUnit(o.Key), &c)
	}
	r.dropStaleHotKeys(page, &c)
	return c
}

// dropStaleHotKeys drops the memory of hot keys that have no override and whose slot got a new owner since the hand-over.
func (r *Receiver) dropStaleHotKeys(page *ibisslot.Page, c *Changes) {
	var gone []ibisslot.KeyHash
	for id, in := range r.incoming {
		if id.page != page.ID() || !id.unit.Hot {
			continue
		}
		_, hasOverride := page.Override(id.unit.Key)
		if !hasOverride && page.Slot(page.Position(id.unit.Key)).Token > in.token {
			gone = append(gone, id.unit.Key)
		}
	}
	slices.Sort(gone)
	for _, key := range gone {
		delete(r.incoming, idOf(page.ID(), hotUnit(key)))
		c.Rejected = append(c.Rejected, RejectedUnit{
			Page: page.ID(),
			Unit: hotUnit(key),
		})
	}
}

// EndOverride records the new token of a slot after this member's own batch ended the override of one of its keys. It must be
// called before ApplyPage, which would otherwise report the slot as adopted.
func (r *Receiver) EndOverride(page *ibisslot.Page, key ibisslot.KeyHash) {
	position := page.Position(key)
	id := idOf(page.ID(), Unit{Position: position})
	a := page.Slot(position)
	if _, owned := r.owned[id]; owned && a.Owner == r.self {
		r.owned[id] = a.Token
	}
	delete(r.owned, idOf(page.ID(), hotUnit(key)))
}

// applyAssignment applies the assignment of one unit and adds the unit to the changes if its ownership changed for this member.
func (r *Receiver) applyAssignment(page *ibisslot.Page, unit Unit, c *Changes) {
	id := idOf(page.ID(), unit)
	a, in := assignmentOf(page, unit), r.incoming[id]
	if a.Owner != r.self {
		delete(r.owned, id)
		if in != nil && a.Token > in.token {
			delete(r.incoming, id)
			c.Rejected = append(c.Rejected, RejectedUnit{
				Page: page.ID(),
				Unit: unit,
			})
		}
		return
	}
	if r.owned[id] == a.Token {
		return
	}
	r.owned[id] = a.Token
	delete(r.incoming, id)
	c.Adopted = append(c.Adopted, AdoptedUnit{
		Unit:      unit,
		Token:     a.Token,
		Inherited: a.HandedOver && in != nil && in.token+1 == a.Token,
	})
}
