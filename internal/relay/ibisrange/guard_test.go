package ibisrange_test

import (
	"encoding/json"
	"fmt"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/relay/ibisrange"
	"github.com/ibisridge/ibisridge/internal/relay/ibisroster"
	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

const (
	// takeoverSlack is the time beyond a term for which a lease must have been unchanged before its ranges are taken over.
	takeoverSlack = 500 * time.Millisecond
	storeStart    = time.Hour
	// receiptTime is the longest time from the writing of a call until the backend server reads it.
	receiptTime = 1500 * time.Millisecond
)

var ownRun = ibisroster.ServerIncarnation{ID: "s1", StartedAt: 1}

// fixture is one manager of node n1 whose store and backend server the test plays by hand. The page gives the lower half of the
// keys to s1 at n1 and the upper half to s2 at n2.
type fixture struct {
	manager *ibisrange.Manager
	now     time.Time
	seq     uint64
	version uint64
	// pending holds the commits without an answer, by purpose, and calls the calls without an outcome.
	pending map[ibisrange.Purpose]ibisrange.CommitEffect
	calls   []ibisrange.CallEffect
	// leasesRead reports that the leases are to be read since it was last reset.
	leasesRead bool
	grant      ibisrange.GrantEffect
	start      ibisrange.CallStartEffect
}

func newFixture(delivery ibisrange.Delivery) *fixture {
	f := &fixture{
		manager: ibisrange.New(ibisrange.Config{
			Node:          "n1",
			Service:       service,
			Incarnation:   1,
			Heartbeat:     heartbeat,
			MaxGrant:      maxGrant,
			LeaseTerm:     leaseTerm,
			RenewInterval: renewInterval,
			Delivery:      delivery,
		}),
		now:     start,
		pending: make(map[ibisrange.Purpose]ibisrange.CommitEffect),
	}
	f.update(ibisrange.PolicyEvent{Sharded: true})
	f.update(ibisrange.MembersEvent{Members: []ibisroster.Member{testMember("n1", ownRun), testMember("n2", ibisroster.ServerIncarnation{ID: "s2", StartedAt: 1})}})
	f.beat(ibisrange.HeartbeatEvent{})
	return f
}

func testMember(node ibisid.NodeName, run ibisroster.ServerIncarnation) ibisroster.Member {
	return ibisroster.Member{
		Node:    node,
		Address: "127.0.0.1:1",
		Server:  ibisroster.Server{Incarnation: run, Service: service, Slots: 8, State: ibisroster.StateServing},
	}
}

func (f *fixture) update(e ibisrange.Event) {
	for _, effect := range f.manager.Update(e, f.now) {
		switch x := effect.(type) {
		case ibisrange.CommitEffect:
			f.pending[x.Purpose] = x
		case ibisrange.CallEffect:
			f.calls = append(f.calls, x)
		case ibisrange.ReadEffect:
			f.leasesRead = f.leasesRead || x.Leases
		case ibisrange.GrantEffect:
			f.grant = x
		case ibisrange.CallStartEffect:
			f.start = x
		}
	}
}

// beat sends a heartbeat of the own run and returns its answer.
func (f *fixture) beat(e ibisrange.HeartbeatEvent) ibisrange.GrantEffect {
	f.seq++
	e.Incarnation, e.Seq = ownRun, f.seq
	f.update(e)
	return f.grant
}

func (f *fixture) pass(d time.Duration) {
	f.now = f.now.Add(d)
	f.update(ibisrange.TickEvent{})
}

func (f *fixture) storeClock() time.Duration { return storeStart + f.now.Sub(start) }

// answerCommit answers the commit of the purpose and returns it.
func (f *fixture) answerCommit(purpose ibisrange.Purpose, result ibisstore.Result) ibisrange.CommitEffect {
	e, ok := f.pending[purpose]
	Expect(ok).To(BeTrue(), "no commit of purpose %s is pending", purpose)
	delete(f.pending, purpose)
	f.version++
	if result.Outcome == ibisstore.OutcomeApplied {
		result.Version, result.Clock = f.version, f.storeClock()
	}
	f.update(ibisrange.CommitEvent{ID: e.ID, Result: result})
	return e
}

// renew answers the renewal of the lease, which must be due.
func (f *fixture) renew() ibisrange.CommitEffect {
	f.update(ibisrange.TickEvent{})
	return f.answerCommit(ibisrange.PurposeRenew, ibisstore.Result{Outcome: ibisstore.OutcomeApplied})
}

// release plans a move of the own range to n2 and has the backend server report that it no longer holds the range.
func (f *fixture) release() {
	f.update(ibisrange.PageEvent{Row: f.pageRow(testPage(func(p *ibisrange.Page) { p.Ranges[0].Next = "n2" }))})
	f.now = f.now.Add(2 * heartbeat)
	f.beat(ibisrange.HeartbeatEvent{})
}

// renewIfDue answers a renewal of the lease if one is pending.
func (f *fixture) renewIfDue() {
	if _, due := f.pending[ibisrange.PurposeRenew]; due {
		f.renew()
	}
}

func testPage(change func(p *ibisrange.Page)) ibisrange.Page {
	page := ibisrange.Page{Ranges: []ibisrange.Range{
		{Span: ibisrange.Span{To: ibisrange.Keys/2 - 1}, Owner: ibisrange.Owner{Node: "n1", Incarnation: ownRun}, Token: 1},
		{Span: ibisrange.Span{From: ibisrange.Keys / 2, To: ibisrange.Keys - 1}, Owner: ibisrange.Owner{Node: "n2", Incarnation: ibisroster.ServerIncarnation{ID: "s2", StartedAt: 1}}, Token: 1},
	}}
	if change != nil {
		change(&page)
	}
	return page
}

func (f *fixture) pageRow(page ibisrange.Page) ibisstore.Row {
	f.version++
	return ibisstore.Row{Key: ibisstore.Key{Table: ibisrange.TablePages, Partition: string(service), Name: "page"}, Value: page.Encode(), Version: f.version}
}

// readPage answers a read of the page that was requested at the time.
func (f *fixture) readPage(requestedAt time.Time) {
	f.update(ibisrange.ReadEvent{RequestedAt: requestedAt, Pages: &ibisstore.Snapshot{
		Rows:    []ibisstore.Row{f.pageRow(testPage(nil))},
		Version: f.version,
		Clock:   f.storeClock(),
	}})
}

// readLeases answers a read of the leases in which the row of n2, if it has a version, states the end of its lease.
func (f *fixture) readLeases(version uint64, until time.Duration) {
	snapshot := &ibisstore.Snapshot{Version: f.version, Clock: f.storeClock()}
	if version > 0 {
		value, err := json.Marshal(map[string]any{"writer": "1/1", "untilMs": until.Milliseconds()})
		Expect(err).NotTo(HaveOccurred())
		snapshot.Rows = []ibisstore.Row{{Key: ibisstore.Key{Table: ibisrange.TableLeases, Partition: string(service), Name: "n2"}, Value: value, Version: version}}
	}
	f.update(ibisrange.ReadEvent{RequestedAt: f.now, Leases: snapshot})
}

// readOddLease answers a read of the leases in which the row of n2 has the content.
func (f *fixture) readOddLease(version uint64, content string) {
	f.update(ibisrange.ReadEvent{RequestedAt: f.now, Leases: &ibisstore.Snapshot{
		Version: f.version,
		Clock:   f.storeClock(),
		Rows: []ibisstore.Row{{
			Key:     ibisstore.Key{Table: ibisrange.TableLeases, Partition: string(service), Name: "n2"},
			Value:   []byte(content),
			Version: version,
		}},
	}})
}

// serving returns a fixture whose lease is valid and whose page is read.
func serving(delivery ibisrange.Delivery) *fixture {
	f := newFixture(delivery)
	f.renew()
	f.readPage(f.now)
	return f
}

// settled returns a serving fixture whose grants by earlier runs of the node have ended.
func settled(delivery ibisrange.Delivery) *fixture {
	f := serving(delivery)
	for f.now.Before(start.Add(maxGrant + heartbeat)) {
		f.pass(heartbeat)
		f.renewIfDue()
		f.beat(ibisrange.HeartbeatEvent{})
	}
	return f
}

// renewAt renews the lease at a later time.
func (f *fixture) renewAt(at time.Time) {
	f.now = at
	f.renew()
}

// finishCall starts the only call without an outcome and ends it.
func (f *fixture) finishCall(outcome ibisrange.CallOutcome) ibisrange.CallEffect {
	Expect(f.calls).To(HaveLen(1))
	e := f.calls[0]
	f.calls = nil
	f.update(ibisrange.CallReadyEvent{ID: e.ID})
	Expect(f.start.Allowed).To(BeTrue())
	f.update(ibisrange.CallEvent{ID: e.ID, Outcome: outcome, Handover: "warm"})
	return e
}

var _ = Describe("A lease and its grants", func() {
	It("end in order although all clocks drift: the grant before the lease, the lease before the stated end and the earliest takeover", func() {
		const slow, fast = 1 - maxDrift, 1 + maxDrift
		f := newFixture(ibisrange.DeliveryHeartbeat)
		f.renew()
		f.readPage(f.now)
		sent, reading := f.now, f.storeClock()
		own := f.manager.LeaseUntil().Sub(f.now)
		Expect(own.Seconds()/slow).To(BeNumerically("<=", leaseTerm.Seconds()/fast), "a slow clock of the node, a fast one of the store")
		for range 8 {
			f.now = f.now.Add(time.Second)
			answer := f.beat(ibisrange.HeartbeatEvent{})
			left := f.manager.LeaseUntil().Sub(f.now)
			Expect(answer.HoldFor.Seconds()*fast).To(BeNumerically("<=", left.Seconds()/fast), "a fast clock of the node, a slow one of the backend server")
			if e, ok := f.pending[ibisrange.PurposeRenew]; ok {
				delete(f.pending, ibisrange.PurposeRenew)
				f.update(ibisrange.CommitEvent{ID: e.ID, Result: ibisstore.Result{Outcome: ibisstore.OutcomeRefused}})
			}
		}
		f.pass(20 * time.Second)
		var row struct {
			UntilMs int64 `json:"untilMs"`
		}
		sentAt := f.now
		renewal := f.renew()
		Expect(json.Unmarshal(renewal.Commit.Writes[0].Value, &row)).To(Succeed())
		leaseEnd := f.manager.LeaseUntil().Sub(sent)
		Expect(f.manager.LeaseUntil().Sub(sentAt)).To(Equal(own), "the term counts from when the renewal was sent")
		Expect(float64(row.UntilMs)).To(BeNumerically(">=", float64((reading+time.Duration(float64(leaseEnd)*fast/slow)).Milliseconds())-1))
	})

	It("need a read of the page that was requested after a lapse", func() {
		f := serving(ibisrange.DeliveryHeartbeat)
		Expect(f.beat(ibisrange.HeartbeatEvent{}).Renews).To(BeTrue())
		before := f.now
		f.pass(leaseTerm)
		f.renew()
		Expect(f.beat(ibisrange.HeartbeatEvent{}).Renews).To(BeFalse(), "the page may have changed")
		f.readPage(before)
		Expect(f.beat(ibisrange.HeartbeatEvent{}).Renews).To(BeFalse(), "the read may be from before a takeover")
		f.readPage(f.now)
		Expect(f.beat(ibisrange.HeartbeatEvent{}).Renews).To(BeTrue())
	})

	It("end when another writer has replaced the lease", func() {
		f := serving(ibisrange.DeliveryHeartbeat)
		f.pass(renewInterval)
		f.answerCommit(ibisrange.PurposeRenew, ibisstore.Result{Outcome: ibisstore.OutcomeConflict, Rows: []ibisstore.Row{{
			Key:     ibisstore.Key{Table: ibisrange.TableLeases, Partition: string(service), Name: "n1"},
			Value:   []byte(`{"writer":"2/1"}`),
			Version: 99,
		}}})
		Expect(f.beat(ibisrange.HeartbeatEvent{}).Renews).To(BeFalse())
	})

	It("are taken over only when the lease has been unchanged for a term and the slack", func() {
		for _, version := range []uint64{7, 0} {
			f := serving(ibisrange.DeliveryHeartbeat)
			f.readLeases(version, 0)
			f.now = f.now.Add(leaseTerm + takeoverSlack - time.Millisecond)
			f.beat(ibisrange.HeartbeatEvent{})
			f.renew()
			f.readPage(f.now)
			f.readLeases(version, 0)
			Expect(f.pending).NotTo(HaveKey(ibisrange.PurposeTakeover), "row version %d", version)
			f.now = f.now.Add(time.Millisecond)
			f.readLeases(version, 0)
			Expect(f.pending).To(HaveKey(ibisrange.PurposeTakeover), "row version %d", version)
		}
	})

	It("are taken over only when the stated end and the slack have passed", func() {
		f := serving(ibisrange.DeliveryHeartbeat)
		end := f.storeClock() + 2*time.Second
		f.readLeases(7, end)
		f.now = f.now.Add(2*time.Second + takeoverSlack - time.Millisecond)
		f.readLeases(7, end)
		Expect(f.pending).NotTo(HaveKey(ibisrange.PurposeTakeover))
		f.now = f.now.Add(time.Millisecond)
		f.readLeases(7, end)
		Expect(f.pending).To(HaveKey(ibisrange.PurposeTakeover))
	})

	// Guards against an end that is no time.Duration and so looked like one in the past.
	It("are not taken over because the stated end is out of range", func() {
		for _, end := range []string{"9223372036854775807", "-9223372036854775807", "18446744073710", "1e400"} {
			f := serving(ibisrange.DeliveryHeartbeat)
			f.readOddLease(7, `{"writer":"1/1","untilMs":`+end+`}`)
			f.now = f.now.Add(2*time.Second + takeoverSlack)
			f.readOddLease(7, `{"writer":"1/1","untilMs":`+end+`}`)
			Expect(f.pending).NotTo(HaveKey(ibisrange.PurposeTakeover), end)
		}
	})

	// Guards against a takeover that waited for the next regular read of the leases.
	It("are read once another one should have ended", func() {
		f := serving(ibisrange.DeliveryHeartbeat)
		f.readLeases(7, f.storeClock()+time.Second)
		f.leasesRead = false
		f.pass(time.Second)
		Expect(f.leasesRead).To(BeFalse())
		f.pass(takeoverSlack)
		Expect(f.leasesRead).To(BeTrue())
	})

	It("are not renewed by a heartbeat of an earlier run, or one that is older than another", func() {
		f := serving(ibisrange.DeliveryHeartbeat)
		Expect(f.beat(ibisrange.HeartbeatEvent{}).Renews).To(BeTrue())
		f.update(ibisrange.HeartbeatEvent{Incarnation: ownRun, Seq: f.seq, Draining: true})
		Expect(f.grant.Renews).To(BeFalse())
		f.update(ibisrange.HeartbeatEvent{Incarnation: ibisroster.ServerIncarnation{ID: "s0", StartedAt: 0}, Seq: 99, Draining: true})
		Expect(f.grant.Renews).To(BeFalse())
		Expect(f.beat(ibisrange.HeartbeatEvent{}).Grants).To(HaveLen(1), "neither changes what the run is granted")
	})

	It("do not cover a range of an earlier run of the backend server", func() {
		f := serving(ibisrange.DeliveryHeartbeat)
		f.update(ibisrange.HeartbeatEvent{Incarnation: ibisroster.ServerIncarnation{ID: "s1", StartedAt: 2}, Seq: 1})
		Expect(f.grant.Grants).To(BeEmpty())
	})

	It("do not return to an older page, such as a late read delivers", func() {
		f := serving(ibisrange.DeliveryHeartbeat)
		older := f.pageRow(testPage(nil))
		f.update(ibisrange.PageEvent{Row: f.pageRow(testPage(func(p *ibisrange.Page) { p.Ranges[0].Next = "n2" }))})
		f.update(ibisrange.PageEvent{Row: older})
		Expect(f.beat(ibisrange.HeartbeatEvent{}).Grants).To(BeEmpty())
	})

	It("keep a range while the answer that grants it may still arrive", func() {
		f := settled(ibisrange.DeliveryHeartbeat)
		f.readLeases(7, f.storeClock()+leaseTerm)
		Expect(f.beat(ibisrange.HeartbeatEvent{}).Grants).To(HaveLen(1))
		f.now = f.now.Add(time.Second)
		f.beat(ibisrange.HeartbeatEvent{Draining: true})
		Expect(f.pending).NotTo(HaveKey(ibisrange.PurposeHandover))
		f.readLeases(7, f.storeClock()+leaseTerm)
		f.now = f.now.Add(time.Second)
		f.beat(ibisrange.HeartbeatEvent{Draining: true})
		Expect(f.pending).To(HaveKey(ibisrange.PurposeHandover))
	})

	// A heartbeat that was sent before an earlier run of the node granted the range, or a report that the server has released it, may
	// arrive after this run has begun (review/1).
	DescribeTable("of an earlier run of the node count until they have ended, whatever a heartbeat of the backend server says",
		func(said ibisrange.HeartbeatEvent) {
			f := serving(ibisrange.DeliveryHeartbeat)
			f.readLeases(7, f.storeClock()+leaseTerm)
			Expect(f.beat(said).Grants).To(HaveLen(1), "what it owns is granted to it all the same")
			ended := start.Add(time.Duration(float64(maxGrant) * (1 + maxDrift)))
			for f.now.Before(ended) {
				f.beat(ibisrange.HeartbeatEvent{Draining: true, Released: said.Released})
				Expect(f.pending).NotTo(HaveKey(ibisrange.PurposeHandover), "%s after the start", f.now.Sub(start))
				f.pass(500 * time.Millisecond)
				f.readLeases(7, f.storeClock()+leaseTerm)
				f.renewIfDue()
			}
			f.pass(time.Second)
			Expect(f.pending).To(HaveKey(ibisrange.PurposeHandover))
		},
		Entry("that it holds nothing", ibisrange.HeartbeatEvent{}),
		Entry("that it has released all", ibisrange.HeartbeatEvent{Released: []ibisrange.Released{{Span: ibisrange.Span{To: ibisrange.Keys - 1}}}}),
	)

	// A handover that is carried out late would take the range from a new run of the node, which may have granted it (review/3).
	It("are given away on the condition of this run's lease, as it stands after each renewal", func() {
		f := settled(ibisrange.DeliveryHeartbeat)
		f.readLeases(7, f.storeClock()+leaseTerm)
		lease := ibisstore.Key{Table: ibisrange.TableLeases, Partition: string(service), Name: "n1"}
		f.pass(renewInterval)
		f.renew()
		f.readLeases(7, f.storeClock()+leaseTerm)
		renewed := f.version
		f.release()
		row := ibisstore.Row{Key: lease, Version: renewed + 10}
		e := f.answerCommit(ibisrange.PurposeHandover, ibisstore.Result{Outcome: ibisstore.OutcomeConflict, Rows: []ibisstore.Row{row}})
		Expect(e.Commit.Conditions).To(ContainElement(ibisstore.Condition{Key: lease, Version: renewed}))
		f.update(ibisrange.TickEvent{})
		Expect(f.pending).NotTo(HaveKey(ibisrange.PurposeHandover), "the row of the lease is another one")
		f.renew()
		Expect(f.pending).To(HaveKey(ibisrange.PurposeHandover))
	})

	It("repeat a commit without an answer, and grant nothing that it gives away", func() {
		f := settled(ibisrange.DeliveryHeartbeat)
		f.readLeases(7, f.storeClock()+leaseTerm)
		f.release()
		first := f.answerCommit(ibisrange.PurposeHandover, ibisstore.Result{Outcome: ibisstore.OutcomeUnknown})
		Expect(f.beat(ibisrange.HeartbeatEvent{}).Grants).To(BeEmpty())
		f.pass(time.Second)
		Expect(f.pending[ibisrange.PurposeHandover].ID).To(Equal(first.ID))
	})
})

// Guards against a takeover of many owners in one commit, which the store refuses for its size and which was planned again unchanged.
var _ = DescribeTable("A takeover of many owners takes commits that the store accepts",
	func(lost int) {
		const maxEntries = 100
		f := newFixture(ibisrange.DeliveryHeartbeat)
		f.renew()
		page := ibisrange.Page{}
		for i := range lost {
			page.Ranges = append(page.Ranges, ibisrange.Range{
				Span:  ibisrange.Span{From: i, To: i},
				Owner: ibisrange.Owner{Node: ibisid.NodeName(fmt.Sprintf("lost-%d", i)), Incarnation: ibisroster.ServerIncarnation{ID: "s", StartedAt: 1}},
				Token: 1,
			})
		}
		page.Ranges = append(page.Ranges, ibisrange.Range{Span: ibisrange.Span{From: lost, To: ibisrange.Keys - 1}, Owner: ibisrange.Owner{Node: "n1", Incarnation: ownRun}, Token: 1})
		f.update(ibisrange.ReadEvent{RequestedAt: f.now, Pages: &ibisstore.Snapshot{Rows: []ibisstore.Row{f.pageRow(page)}, Version: f.version, Clock: f.storeClock()}})
		leases := func() {
			snapshot := &ibisstore.Snapshot{Version: f.version, Clock: f.storeClock()}
			for i := range lost {
				snapshot.Rows = append(snapshot.Rows, ibisstore.Row{Key: ibisstore.Key{Table: ibisrange.TableLeases, Partition: string(service), Name: fmt.Sprintf("lost-%d", i)}, Value: []byte(`{"writer":"1/1"}`), Version: 1})
			}
			f.update(ibisrange.ReadEvent{RequestedAt: f.now, Leases: snapshot})
		}
		leases()
		for end := f.now.Add(leaseTerm + heartbeat); f.now.Before(end); {
			f.pass(heartbeat)
			f.renewIfDue()
			f.beat(ibisrange.HeartbeatEvent{})
		}
		leases()
		commits := 0
		for range lost {
			e, due := f.pending[ibisrange.PurposeTakeover]
			if !due {
				break
			}
			Expect(len(e.Commit.Conditions) + len(e.Commit.Writes) + len(e.Commit.Removes)).To(BeNumerically("<=", maxEntries))
			f.answerCommit(ibisrange.PurposeTakeover, ibisstore.Result{Outcome: ibisstore.OutcomeApplied})
			commits++
			f.update(ibisrange.TickEvent{})
		}
		Expect(commits).To(Equal((lost + 39) / 40))
		ranges, _ := f.manager.CountOwned()
		Expect(ranges).To(Equal(lost + 1))
	},
	Entry("a few", 3), Entry("as many as one commit takes", 40), Entry("50", 50), Entry("84", 84), Entry("300", 300),
)

var _ = Describe("A grant by call", func() {
	It("is not written if its range has changed since it was planned", func() {
		f := serving(ibisrange.DeliveryCall)
		Expect(f.calls).To(HaveLen(1))
		f.update(ibisrange.PageEvent{Row: f.pageRow(testPage(func(p *ibisrange.Page) { p.Ranges[0].Next = "n2" }))})
		f.update(ibisrange.CallReadyEvent{ID: f.calls[0].ID})
		Expect(f.start.Allowed).To(BeFalse())
	})

	It("is not written if the lease has lapsed since it was planned", func() {
		f := serving(ibisrange.DeliveryCall)
		f.now = f.now.Add(leaseTerm)
		f.update(ibisrange.CallReadyEvent{ID: f.calls[0].ID})
		Expect(f.start.Allowed).To(BeFalse())
	})

	DescribeTable("keeps its range until it has ended on the slowest clock, counted from the last moment at which it can have been read",
		func(outcome, release ibisrange.CallOutcome, readAfter time.Duration) {
			f := serving(ibisrange.DeliveryCall)
			f.finishCall(ibisrange.CallAccepted)
			// A new run of the node's earlier grants have ended by now.
			f.pass(maxGrant * 2)
			f.renew()
			f.calls = nil
			f.readPage(f.now)
			f.finishCall(outcome)
			granted := f.now.Add(readAfter)
			f.beat(ibisrange.HeartbeatEvent{Draining: true})
			f.pass(time.Second)
			f.finishCall(release)
			f.calls = nil
			f.renewAt(granted.Add(renewInterval))
			f.now = granted.Add(time.Duration(float64(maxGrant)*(1+maxDrift)) - time.Millisecond)
			f.update(ibisrange.ReadEvent{RequestedAt: f.now, Leases: f.leasesOf(8)})
			Expect(f.pending).NotTo(HaveKey(ibisrange.PurposeHandover))
			f.pass(time.Duration(float64(maxGrant) * maxDrift * 2))
			Expect(f.pending).To(HaveKey(ibisrange.PurposeHandover))
		},
		Entry("after an unanswered release", ibisrange.CallAccepted, ibisrange.CallUnanswered, time.Duration(0)),
		Entry("unanswered, although a later release was answered", ibisrange.CallUnanswered, ibisrange.CallAccepted, receiptTime),
	)

	It("is given under a newer token after a release was sent and the move was cancelled", func() {
		f := serving(ibisrange.DeliveryCall)
		f.readLeases(7, f.storeClock()+leaseTerm)
		f.finishCall(ibisrange.CallAccepted)
		f.update(ibisrange.PageEvent{Row: f.pageRow(testPage(func(p *ibisrange.Page) { p.Ranges[0].Next = "n2" }))})
		release := f.finishCall(ibisrange.CallUnanswered)
		Expect(release.Kind).To(Equal(ibisrange.CallRelease))
		f.update(ibisrange.PageEvent{Row: f.pageRow(testPage(nil))})
		f.pass(time.Second)
		Expect(f.calls).To(BeEmpty(), "the release may still be carried out")
		f.answerCommit(ibisrange.PurposeHandover, ibisstore.Result{Outcome: ibisstore.OutcomeApplied})
		Expect(f.calls).To(HaveLen(1))
		Expect(f.calls[0].Kind).To(Equal(ibisrange.CallGrant))
		Expect(f.calls[0].Token).To(BeEquivalentTo(2))
	})

	It("is given under a newer token after the backend server has rejected one, once the page was read again", func() {
		f := serving(ibisrange.DeliveryCall)
		f.finishCall(ibisrange.CallSuperseded)
		f.pass(time.Second)
		Expect(f.calls).To(BeEmpty())
		Expect(f.pending).NotTo(HaveKey(ibisrange.PurposeHandover), "the page must be read again first")
		f.readPage(f.now)
		f.answerCommit(ibisrange.PurposeHandover, ibisstore.Result{Outcome: ibisstore.OutcomeApplied})
		Expect(f.calls).To(HaveLen(1))
		Expect(f.calls[0].Token).To(BeEquivalentTo(2))
	})

	It("is renewed alone, while no other call for its span is in flight", func() {
		f := serving(ibisrange.DeliveryCall)
		f.pass(heartbeat)
		f.pass(heartbeat)
		Expect(f.calls).To(HaveLen(1))
	})
})

// leasesOf returns a read of the leases with the row of n2 at the version.
func (f *fixture) leasesOf(version uint64) *ibisstore.Snapshot {
	return &ibisstore.Snapshot{Version: f.version, Clock: f.storeClock(), Rows: []ibisstore.Row{{
		Key:     ibisstore.Key{Table: ibisrange.TableLeases, Partition: string(service), Name: "n2"},
		Value:   []byte(`{"writer":"1/1"}`),
		Version: version,
	}}}
}
