package ibisquota

import (
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// peer is a lender that this node talks to.
type peer struct {
	// run is the lender's run, and ticket its time in its latest reply, which arrived at ticketAt. There is none yet if
	// ticketAt is zero.
	run      ibisid.Incarnation
	ticket   int64
	ticketAt time.Time
	// failures is the number of messages that have failed in a row. Once failed, the peer is not used as a lender until it
	// answers again.
	failures int
	failed   bool
	inFlight int
	// nextSend is when the next delegation or probe is due.
	nextSend time.Time
	// sentSlots and sentShare are those of the latest delegation.
	sentSlots Slots
	sentShare float64
	// asking lists the accounts whose asks wait to be sent.
	asking []*account
}

func (q *Quota) peer(node ibisid.NodeName) *peer {
	p := q.peers[node]
	if p == nil {
		p = &peer{}
		q.peers[node] = p
	}
	return p
}

// flush sends what is due to all lenders and returns the effects.
func (q *Quota) flush(now time.Time) []Effect {
	if len(q.accounts) > 0 {
		for _, node := range q.partners() {
			q.flushPeer(node, now)
		}
	}
	return q.takeEffects()
}

// partners returns the nodes that this node may have to send something to, sorted: lenders of its slots, lenders that may have its
// share, candidates that don't answer, and lenders for which asks wait.
func (q *Quota) partners() []ibisid.NodeName {
	var nodes []ibisid.NodeName
	add := func(node ibisid.NodeName) {
		if node != "" && node != q.config.Node && !slices.Contains(nodes, node) {
			nodes = append(nodes, node)
		}
	}
	for i := range q.slots {
		if s := &q.slots[i]; len(s.accounts) > 0 {
			add(s.lender)
			add(s.holder)
		}
	}
	for _, node := range q.candidates {
		if p := q.peers[node]; p != nil && p.failed {
			add(node)
		}
	}
	for node, p := range q.peers {
		if len(p.asking) > 0 {
			add(node)
		}
	}
	slices.Sort(nodes)
	return nodes
}

// flushPeer sends a message to a lender if a delegation, a probe or an ask is due.
func (q *Quota) flushPeer(node ibisid.NodeName, now time.Time) {
	p := q.peer(node)
	request := Request{
		From: q.config.Node,
		Run:  q.config.Incarnation,
		Sent: now,
	}
	request.Delegation = q.delegationTo(node, p, now)
	if p.inFlight < maxInFlight {
		for _, a := range p.asking {
			if ask, ok := a.ask(); ok {
				request.Asks = append(request.Asks, ask)
			}
		}
		p.asking = nil
	}
	if request.Delegation == nil && len(request.Asks) == 0 {
		if !p.ticketAt.IsZero() && !p.failed || now.Before(p.nextSend) {
			return
		}
		p.nextSend = now.Add(probeInterval)
	}
	p.inFlight++
	q.effects = append(q.effects, Effect{
		To:      node,
		Request: request,
	})
}

// delegationTo returns the delegation to send to a lender, nil if none is due. The own share of its slots is not used from now on.
func (q *Quota) delegationTo(node ibisid.NodeName, p *peer, now time.Time) *Delegation {
	share := q.ownShare(now)
	var slots, held Slots
	for i := range q.slots {
		s := &q.slots[i]
		if s.holder == node {
			held |= 1 << i
		}
		if len(s.accounts) > 0 && s.lender == node && (s.holder == "" || s.holder == node && s.holderRun == p.run) {
			slots |= 1 << i
		}
	}
	if share == 0 || p.ticketAt.IsZero() || p.failed || slots|held == 0 {
		return nil
	}
	changed := slots != p.sentSlots || share != p.sentShare
	if now.Before(p.nextSend) && (!changed || p.failures > 0) {
		return nil
	}
	q.seq++
	p.sentSlots, p.sentShare = slots, share
	p.nextSend = now.Add(renewInterval)
	for i := range q.slots {
		s := &q.slots[i]
		if !slots.Has(i) {
			continue
		}
		s.holder, s.holderRun = node, p.run
		s.lockedUntil, s.lastSeq = now.Add(lockTerm), q.seq
		if q.nextCheck.IsZero() || s.lockedUntil.Before(q.nextCheck) {
			q.nextCheck = s.lockedUntil
		}
	}
	q.updateShares(now)
	return &Delegation{
		Seq:       q.seq,
		LenderRun: p.run,
		Ticket:    p.ticket,
		AgeNs:     now.Sub(p.ticketAt),
		Share:     share,
		Slots:     slots,
	}
}

// Replied applies the reply of a lender to a request.
func (q *Quota) Replied(lender ibisid.NodeName, request Request, reply Reply, now time.Time) []Effect {
	q.advance(now)
	if len(reply.Grants) != len(request.Asks) {
		return q.Failed(lender, request, now)
	}
	p := q.peer(lender)
	p.inFlight = max(0, p.inFlight-1)
	q.recordRun(lender, p, request, reply, now)
	q.observeCount(max(reply.Members, q.rosterCount))
	q.updateShares(now)
	for i, ask := range request.Asks {
		if a := q.accounts[ask.Account]; a != nil && a.borrower != nil {
			q.lend(a, ask, reply.Grants[i], request.Sent, now)
		}
	}
	return q.flush(now)
}

// recordRun applies what a reply says about the lender's run and the delegations that it has.
func (q *Quota) recordRun(lender ibisid.NodeName, p *peer, request Request, reply Reply, now time.Time) {
	if reply.Run < p.run {
		return
	}
	if reply.Run > p.run || reply.Ticket > p.ticket {
		p.run, p.ticket, p.ticketAt = reply.Run, reply.Ticket, now
	}
	wasFailed := p.failed
	p.failures = 0
	p.failed = reply.Stopping
	if wasFailed && !p.failed {
		p.nextSend = now
	}
	for i := range q.slots {
		s := &q.slots[i]
		if s.holder != lender {
			continue
		}
		d := request.Delegation
		ended := s.holderRun < reply.Run || reply.Stopping
		// The lender ignores delegations that were sent before the one that it has answered.
		withdrawn := d != nil && s.lastSeq < d.Seq && !d.Slots.Has(i)
		if ended || withdrawn {
			s.holder = ""
		}
	}
	if wasFailed != p.failed {
		q.assignLenders()
	}
}

// Failed applies the failure of a request, which the lender may have got: nobody uses the share and the tokens in question until
// their terms have ended.
func (q *Quota) Failed(lender ibisid.NodeName, request Request, now time.Time) []Effect {
	q.advance(now)
	p := q.peer(lender)
	p.inFlight = max(0, p.inFlight-1)
	p.failures++
	p.nextSend = now.Add(probeInterval)
	for _, ask := range request.Asks {
		q.askFailed(q.accounts[ask.Account], now)
	}
	if p.failures >= maxFailures && !p.failed {
		p.failed = true
		q.assignLenders()
		for _, a := range p.asking {
			q.askFailed(a, now)
		}
		p.asking = nil
	}
	return q.flush(now)
}

// askFailed ends the wait of an account's requests after its ask could not be sent or was not answered.
func (q *Quota) askFailed(a *account, now time.Time) {
	if a != nil && a.borrower != nil {
		a.borrower.asked = false
		q.refuseWaiting(a.borrower, q.unavailable(a, now))
	}
}
