package ibisquota

import (
	"testing"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// lenderWith returns a lender that has been running for long enough to own a share among a number of members, in its run 7, and its
// time.
func lenderWith(members int) (*Quota, time.Time) {
	now := time.Unix(1_700_000_000, 0)
	q := New(Config{Node: "lender", Incarnation: 7, Window: 5 * time.Second, Excess: 0.1, Slack: 20})
	roster := []Member{{Node: "lender"}}
	for i := 1; i < members; i++ {
		roster = append(roster, Member{Node: ibisid.NodeName("other" + string(rune('a'+i))), Stopping: true})
	}
	q.SetAccounts([]Account{{Name: "x", Rate: 100, Burst: 100}}, now)
	q.SetMembers(roster, now)
	for range 50 {
		now = now.Add(tickInterval)
		q.Tick(now)
	}
	return q, now
}

// TestDelegationsCount checks which delegations a lender counts; each case guards one condition on them.
func TestDelegationsCount(t *testing.T) {
	type sent struct {
		run       uint64
		seq       uint64
		lenderRun uint64
		// ticket is the age of the ticket when the delegation arrives, and age that which the sender tells.
		ticket, age time.Duration
		share       float64
		slots       Slots
	}
	all := ^Slots(0)
	cases := []struct {
		name  string
		sent  []sent
		after time.Duration
		share float64
	}{
		{"a fresh one", []sent{{1, 1, 7, time.Second, time.Second, 0.25, all}}, 0, 0.25},
		{"one that arrives late counts from when it was sent", []sent{{1, 1, 7, 3 * time.Second, 0, 0.25, all}}, 1100 * time.Millisecond, 0},
		{"one that arrives after its term", []sent{{1, 1, 7, 5 * time.Second, 0, 0.25, all}}, 0, 0},
		{"one for an earlier run of the lender", []sent{{1, 1, 6, time.Second, time.Second, 0.25, all}}, 0, 0},
		{"one with a ticket of a time to come", []sent{{1, 1, 7, -time.Second, 0, 0.25, all}}, 0, 0},
		{"an older one that arrives after its withdrawal", []sent{{1, 2, 7, 0, 0, 0.25, 0}, {1, 1, 7, 0, 0, 0.25, all}}, 0, 0},
		{"an older one that arrives when its withdrawal has ended", []sent{{1, 2, 7, 5 * time.Second, 0, 0.25, 0}, {1, 1, 7, 0, 0, 0.25, all}}, 200 * time.Millisecond, 0},
		{"one of an earlier run of the sender", []sent{{2, 1, 7, 0, 0, 0.25, 0}, {1, 9, 7, 0, 0, 0.25, all}}, 0, 0},
		{"one of a sender that counts fewer members", []sent{{1, 1, 7, 0, 0, 0.5, all}}, 0, 0.25},
		{"one with a negative share", []sent{{1, 1, 7, 0, 0, -1, all}}, 0, 0},
		{"one beyond its term", []sent{{1, 1, 7, 0, 0, 0.25, all}}, 4 * time.Second, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q, now := lenderWith(4)
			own := q.Share("x")
			for _, s := range c.sent {
				q.Answer(Request{From: "other", Run: ibisid.Incarnation(s.run), Delegation: &Delegation{
					Seq:       s.seq,
					LenderRun: ibisid.Incarnation(s.lenderRun),
					Ticket:    now.Add(-s.ticket).UnixNano(),
					AgeNs:     s.age,
					Share:     s.share,
					Slots:     s.slots,
				}}, now)
			}
			for passed := time.Duration(0); passed < c.after; passed += 100 * time.Millisecond {
				now = now.Add(100 * time.Millisecond)
				q.Tick(now)
			}
			if got := q.Share("x") - own; got < c.share-epsilon || got > c.share+epsilon {
				t.Errorf("the lender counts a share of %g, want %g", got, c.share)
			}
		})
	}
}

// TestASuspendedLenderLendsNothingOfEndedDelegations guards against a lender that resumes after a delegation has ended: it must neither
// lend what is in the bucket of the delegation nor fill it for the time meanwhile.
func TestASuspendedLenderLendsNothingOfEndedDelegations(t *testing.T) {
	q, now := lenderWith(2)
	q.Answer(Request{From: "other", Run: 1, Delegation: &Delegation{Seq: 1, LenderRun: 7, Ticket: now.UnixNano(), Share: 0.5, Slots: ^Slots(0)}}, now)
	now = now.Add(time.Hour)
	if reply := q.Answer(Request{From: "other", Run: 1, Asks: []Ask{{Account: "x", Need: 1000}}}, now); reply.Grants[0].Count > 0 {
		t.Errorf("lent %d tokens", reply.Grants[0].Count)
	}
}

// borrowerOf returns a node that borrows all tokens of the account x from the node "lender", the ask for its first request, and the
// time.
func borrowerOf(t *testing.T) (q *Quota, sent Request, now time.Time) {
	now = time.Unix(1_700_000_000, 0)
	q = New(Config{Node: "borrower", Incarnation: 1, Window: 5 * time.Second, Excess: 0.1, Slack: 20})
	q.SetAccounts([]Account{{Name: "x", Rate: 100, Burst: 100}}, now)
	q.SetMembers([]Member{{Node: "borrower", Stopping: true}, {Node: "lender"}}, now)
	decision, effects := q.Take("x", now)
	if decision.Verdict != VerdictWait || len(effects) != 1 {
		t.Fatalf("%+v, %+v", decision, effects)
	}
	return q, effects[0].Request, now
}

// TestLoans checks when lent tokens can be used; each case guards one rule.
func TestLoans(t *testing.T) {
	cases := []struct {
		name string
		// arrives is when the reply arrives and used when the next request does, both after the ask was sent.
		arrives, used time.Duration
		returned      bool
		grant         Grant
		verdict       Verdict
	}{
		{"are used by later requests", 0, 400 * time.Millisecond, false, Grant{Count: 2}, VerdictRun},
		{"expire", 0, 500 * time.Millisecond, false, Grant{Count: 2}, VerdictWait},
		{"count from when they were asked for", 400 * time.Millisecond, 500 * time.Millisecond, false, Grant{Count: 2}, VerdictWait},
		{"are used once", 0, 10 * time.Millisecond, false, Grant{Count: 1}, VerdictWait},
		{"are used again after the request was not run", 0, 10 * time.Millisecond, true, Grant{Count: 1}, VerdictRun},
		{"are not returned after they have expired", 0, 500 * time.Millisecond, true, Grant{Count: 1}, VerdictWait},
		{"are refused without a message after the lender had none", 0, 10 * time.Millisecond, false, Grant{RetryNs: time.Second}, VerdictLimit},
		{"are asked for again after the time that the lender told", 0, 10 * time.Millisecond, false, Grant{RetryNs: 5 * time.Millisecond}, VerdictWait},
		{"are asked for again after a lender without a share", 0, 10 * time.Millisecond, false, Grant{}, VerdictWait},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			q, sent, start := borrowerOf(t)
			effects := q.Replied("lender", sent, Reply{Run: 1, Ticket: 1, Members: 2, Grants: []Grant{c.grant}}, start.Add(c.arrives))
			now := start.Add(c.used)
			if c.returned {
				q.Return(effects[0].Decision.Token, now)
			}
			if decision, _ := q.Take("x", now); decision.Verdict != c.verdict {
				t.Errorf("verdict %s, want %s", decision.Verdict, c.verdict)
			}
		})
	}
}

// TestFailedAsksAreRefusedAtOnce guards against requests that wait for a lender that doesn't answer.
func TestFailedAsksAreRefusedAtOnce(t *testing.T) {
	q, sent, now := borrowerOf(t)
	effects := q.Failed("lender", sent, now)
	if len(effects) == 0 || effects[0].Decision.Verdict != VerdictUnavailable {
		t.Errorf("%+v", effects)
	}
	if q.Failed("lender", sent, now); len(q.FailedLenders()) != 1 {
		t.Errorf("the lender is still used after %d failures", maxFailures)
	}
}

// TestRefusedRequestsAreToldDifferentTimes guards against requests that come back for one token: each is told the time of one of its
// own, and none a time beyond the window.
func TestRefusedRequestsAreToldDifferentTimes(t *testing.T) {
	q, now := lenderWith(1)
	for decision := run(Token{}); decision.Verdict == VerdictRun; {
		decision, _ = q.Take("x", now)
	}
	q.accounts["x"].promised = 0
	last := time.Duration(0)
	for i := range 100 {
		decision, _ := q.Take("x", now)
		if decision.Verdict != VerdictLimit || decision.RetryAfter <= last {
			t.Fatalf("request %d: %+v after %s", i, decision, last)
		}
		last = decision.RetryAfter
	}
	if last < 900*time.Millisecond || last > 1200*time.Millisecond {
		t.Errorf("the 100th request is told %s, want about the time of 100 tokens", last)
	}
}

// TestOneAskAtATime guards against a message for each request: those that arrive while an ask is on its way share the next one.
func TestOneAskAtATime(t *testing.T) {
	q, sent, now := borrowerOf(t)
	for range 50 {
		if _, effects := q.Take("x", now); len(effects) > 0 {
			t.Fatal("a second message while the first is on its way")
		}
	}
	effects := q.Replied("lender", sent, Reply{Run: 1, Ticket: 1, Members: 2, Grants: []Grant{{Count: 1}}}, now)
	next := effects[len(effects)-1].Request
	if len(effects) != 2 || len(next.Asks) != 1 || next.Asks[0].Need != 50 {
		t.Errorf("%+v", effects)
	}
}

// TestANodeThatWasSuspendedWaits guards against a node that uses a share by an old number of members: others may have joined while it
// was suspended.
func TestANodeThatWasSuspendedWaits(t *testing.T) {
	q, now := lenderWith(1)
	now = now.Add(2100 * time.Millisecond)
	if decision, _ := q.Take("x", now); decision.Verdict != VerdictUnavailable {
		t.Errorf("verdict %s right after it was suspended", decision.Verdict)
	}
	for range 35 {
		now = now.Add(tickInterval)
		q.Tick(now)
	}
	if decision, _ := q.Take("x", now); decision.Verdict != VerdictRun {
		t.Errorf("verdict %s after ownDelay", decision.Verdict)
	}
}

// TestTokensOfTheOwnBucketExpire guards against tokens that are returned long after they were taken: their request would run in a
// window in which the bucket was filled again.
func TestTokensOfTheOwnBucketExpire(t *testing.T) {
	for _, c := range []struct {
		after time.Duration
		gain  float64
	}{{100 * time.Millisecond, 1}, {500 * time.Millisecond, 0}} {
		q, now := lenderWith(1)
		decision, _ := q.Take("x", now)
		now = now.Add(c.after)
		for q.accounts["x"].level >= 50 {
			q.Take("x", now)
		}
		before := q.accounts["x"].level
		q.Return(decision.Token, now)
		if gained := q.accounts["x"].level - before; gained != c.gain {
			t.Errorf("returned %s after it was taken: %g tokens", c.after, gained)
		}
	}
}

// TestAShareThatLeavesTakesItsTokens guards against a bucket that keeps the tokens of a share which was withdrawn and came back
// meanwhile: another lender may have lent them.
func TestAShareThatLeavesTakesItsTokens(t *testing.T) {
	q, now := lenderWith(2)
	for seq, slots := range []Slots{^Slots(0), ^Slots(0), 0, ^Slots(0)} {
		q.Answer(Request{From: "other", Run: 1, Delegation: &Delegation{Seq: uint64(seq + 1), LenderRun: 7, Ticket: now.UnixNano(), Share: 0.5, Slots: slots}}, now)
		if seq == 0 {
			now = now.Add(1900 * time.Millisecond)
			q.Tick(now)
		}
	}
	reply := q.Answer(Request{From: "other", Run: 1, Asks: []Ask{{Account: "x", Need: 1000}}}, now)
	if count := reply.Grants[0].Count; count != 55 {
		t.Errorf("lent %d tokens, want 55: half of the burst and of half of the slack", count)
	}
}

// TestEndedDelegationsFillNothing guards against a bucket that is filled for a delegation after its end, when nothing happened at the
// lender meanwhile.
func TestEndedDelegationsFillNothing(t *testing.T) {
	q, now := lenderWith(2)
	q.SetAccounts([]Account{{Name: "x", Rate: 100, Burst: 1000}}, now)
	drain := func() int {
		return q.Answer(Request{From: "third", Run: 1, Asks: []Ask{{Account: "x", Need: 10_000}}}, now).Grants[0].Count
	}
	q.Answer(Request{From: "other", Run: 1, Delegation: &Delegation{Seq: 1, LenderRun: 7, Ticket: now.Add(-3900 * time.Millisecond).UnixNano(), Share: 0.5, Slots: ^Slots(0)}}, now)
	drain()
	now = now.Add(1900 * time.Millisecond)
	if lent, most := drain(), int(0.5*100*1.9); lent > most {
		t.Errorf("lent %d tokens, the own share has filled %d at most", lent, most)
	}
}

// TestRepliesOfAnEarlierRun guards against a late reply of a lender's earlier run, which stopped, that takes the present run out of use.
func TestRepliesOfAnEarlierRun(t *testing.T) {
	q, sent, now := borrowerOf(t)
	late := Request{From: sent.From, Run: sent.Run}
	q.Replied("lender", sent, Reply{Run: 2, Ticket: 2, Members: 2, Grants: []Grant{{Count: 1}}}, now)
	q.Replied("lender", late, Reply{Run: 1, Ticket: 1, Members: 2, Stopping: true}, now)
	if failed := q.FailedLenders(); len(failed) > 0 {
		t.Errorf("the present run is not used: %v", failed)
	}
}

// TestALenderHasTheWholeLimitAtMost guards against a lender that is given more than all shares, by nodes that count different members.
func TestALenderHasTheWholeLimitAtMost(t *testing.T) {
	q, now := lenderWith(2)
	for _, from := range []ibisid.NodeName{"other", "third"} {
		q.Answer(Request{From: from, Run: 1, Delegation: &Delegation{Seq: 1, LenderRun: 7, Ticket: now.UnixNano(), Share: 0.5, Slots: ^Slots(0)}}, now)
	}
	if share := q.Share("x"); share != 1 {
		t.Errorf("the lender has a share of %g", share)
	}
}
