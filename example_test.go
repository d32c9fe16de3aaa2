package ibisridge_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge"
)

// start is the time at which the examples begin; the library never reads a clock.
var start = time.Unix(1_800_000_000, 0)

func ExampleNewLeaseTerms() {
	terms, err := ibisridge.NewLeaseTerms(ibisridge.WithTerm(4*time.Second), ibisridge.WithHeartbeat(time.Second))
	fmt.Println(terms.Term, terms.Validity() < terms.Term, err)
	_, err = ibisridge.NewLeaseTerms(ibisridge.WithHeartbeat(time.Minute))
	fmt.Println(err != nil)
	// Output:
	// 4s true <nil>
	// true
}

// A holder requests a read of its rows, then a commit of its member row, and holds the lease once the commit succeeded.
func ExampleHolder() {
	terms, _ := ibisridge.NewLeaseTerms()
	holder := ibisridge.NewHolder(terms, ibisridge.MemberRow{
		Member: ibisridge.Member{
			Name:        "helsinki-1",
			Incarnation: 1,
		},
		Place: ibisridge.Place{
			Region: "uusimaa",
			Domain: "helsinki-a",
		},
		State: ibisridge.MemberLive,
	})
	events := []ibisridge.LeaseEvent{ibisridge.LeaseTickEvent{}}
	for now := start; len(events) > 0; now = now.Add(10 * time.Millisecond) {
		var next []ibisridge.LeaseEvent
		for _, effect := range holder.Update(events[0], now) {
			switch e := effect.(type) {
			case ibisridge.LeaseReadEffect:
				fmt.Println("read", e.Keys)
				next = append(next, ibisridge.LeaseReadEvent{Sequence: e.Sequence}, ibisridge.LeaseTickEvent{})
			case ibisridge.LeaseCommitEffect:
				fmt.Println("write", e.Commit.Writes[0].Key)
				next = append(next, ibisridge.LeaseCommitResultEvent{
					ID: e.Commit.ID,
					Result: ibisridge.CommitResult{
						Status:  ibisridge.CommitApplied,
						Version: 1,
					},
				})
			case ibisridge.LeaseJoinedEffect:
				fmt.Println("joined, direct:", e.Row.Direct)
			}
		}
		events = append(events[1:], next...)
	}
	_, soon := holder.Valid(start.Add(time.Second))
	_, late := holder.Valid(start.Add(terms.Term))
	fmt.Println("valid after 1s:", soon, "after the term:", late)
	// Output:
	// read [member/helsinki-1 deaths/helsinki-a/6]
	// write member/helsinki-1
	// joined, direct: true
	// valid after 1s: true after the term: false
}

// A witness promises never to renew a lease only after it received no heartbeat for a term; from then on it refuses
// heartbeats.
func ExampleWitness() {
	terms, _ := ibisridge.NewLeaseTerms()
	holder := ibisridge.Member{
		Name:        "helsinki-1",
		Incarnation: 1,
	}
	self := ibisridge.Member{
		Name:        "espoo-1",
		Incarnation: 1,
	}
	witness := ibisridge.NewWitness(terms, self, start)
	heartbeat := ibisridge.LeaseHeartbeatEvent{
		Holder:  holder,
		Witness: self,
	}
	promiseRequest := ibisridge.LeasePromiseRequestEvent{
		Witness: self,
		Members: []ibisridge.Member{holder},
	}
	fmt.Println(len(witness.Update(heartbeat, start)), "acknowledgement")
	fmt.Println(len(witness.Update(promiseRequest, start.Add(time.Second))), "promises after 1s")
	fmt.Println(len(witness.Update(promiseRequest, start.Add(terms.Term))), "promise after the term")
	ack := witness.Update(heartbeat, start.Add(terms.Term))[0].(ibisridge.LeaseAckEffect)
	fmt.Println("refused:", ack.Refused)
	// Output:
	// 1 acknowledgement
	// 0 promises after 1s
	// 1 promise after the term
	// refused: true
}

// A claimant handles the members that witnesses suspect: it reads a suspect's row before it requests promises.
func ExampleClaimant() {
	terms, _ := ibisridge.NewLeaseTerms()
	claimant := ibisridge.NewClaimant(terms, ibisridge.Member{
		Name:        "espoo-1",
		Incarnation: 1,
	})
	claimant.Update(ibisridge.LeaseSuspectEvent{
		Members: []ibisridge.Member{{
			Name:        "helsinki-1",
			Incarnation: 1,
		}},
	}, start)
	for _, effect := range claimant.Update(ibisridge.LeaseTickEvent{}, start) {
		fmt.Println(effect.(ibisridge.LeaseReadEffect).Keys)
	}
	// Output: [member/helsinki-1]
}

// The slots of a lost member pass to their standbys with greater fencing tokens; the other slots do not move.
func ExamplePlacer_Takeover() {
	space := ibisridge.SlotSpace{Service: "print-floor"}
	candidates := []ibisridge.PlacementCandidate{candidate("a"), candidate("b"), candidate("c")}
	page := ibisridge.NewPlacer(space, 8, candidates, ibisridge.AnyPlace{}).Initial(0)
	lost := page.Slot(0).Owner

	pages := ibisridge.NewSlotMap()
	pages.AddSpace(space, 8)
	pages.Apply(page.WithVersion(1))
	var remaining []ibisridge.PlacementCandidate
	for _, c := range candidates {
		if c.Member != lost {
			remaining = append(remaining, c)
		}
	}
	placer := ibisridge.NewPlacer(space, 8, remaining, ibisridge.AnyPlace{})
	placer.CountLoads(pages)
	next, taken := placer.Takeover(page, func(m ibisridge.Member) bool { return m == lost })
	moved := 0
	for i := range next.Len() {
		if next.Slot(i).Owner != page.Slot(i).Owner {
			moved++
		}
	}
	fmt.Println("only the lost member's slots moved:", moved == taken)
	fmt.Println("token of slot 0:", page.Slot(0).Token, "then", next.Slot(0).Token)
	// Output:
	// only the lost member's slots moved: true
	// token of slot 0: 1 then 2
}

func candidate(name ibisridge.NodeName) ibisridge.PlacementCandidate {
	return ibisridge.PlacementCandidate{
		Member: ibisridge.Member{
			Name:        name,
			Incarnation: 1,
		},
		Place: ibisridge.Place{
			Region: "uusimaa",
			Domain: ibisridge.DomainName("domain-" + name),
		},
		Weight: 1,
		Share:  1,
	}
}

// A coordinator reads the row of a page that is not in its slot map before it commits the page.
func ExampleCoordinator() {
	space := ibisridge.SlotSpace{Service: "print-floor"}
	coordinator := ibisridge.NewCoordinator(candidate("a").Member, ibisridge.NewSlotMap(), ibisridge.AnyPlace{},
		&sequentialIDs{}, ibisridge.WithMovesPerMinute(60))
	coordinator.Update(start, ibisridge.PageLiveEvent{Candidates: []ibisridge.PlacementCandidate{candidate("a")}})
	effects := coordinator.Update(start, ibisridge.PageSpaceEvent{
		Space: space,
		Slots: 8,
	})
	read := effects[0].(ibisridge.PageReadEffect)
	fmt.Println("read", read.ID.RowKey())
	effects = coordinator.Update(start, ibisridge.PageReadEvent{ID: read.ID})
	fmt.Println("commit", effects[0].(ibisridge.PageCommitEffect).Commit.Writes[0].Key)
	// Output:
	// read page/print-floor/0
	// commit page/print-floor/0
}

type sequentialIDs struct{ last int }

// Next returns an id that was never used before.
func (i *sequentialIDs) Next() string {
	i.last++
	return fmt.Sprint("commit-", i.last)
}

// A key has one name in each scheme, and all of them translate to the same canonical key.
func ExampleNameSpace() {
	space, faults := ibisridge.CompileKeySpace("mat", ibisridge.KeySpace{
		Fields: []ibisridge.KeyField{{
			Name: "design",
			Type: ibisridge.FieldInt,
			Max:  999_999,
		}},
		Schemes: map[ibisridge.SchemeName]ibisridge.Scheme{
			"erp": {Template: "MAT-{design}"},
			"web": {Template: "design/{design:06}"},
			"urn": {Template: "urn:kk:mat:{design}"},
		},
	})
	key, _ := space.Canonical("erp", "MAT-4711")
	web, _ := space.Spell("web", key)
	_, err := space.Canonical("erp", "MAT-04711")
	fmt.Println(len(faults), key, web, err != nil)
	fmt.Println("slot", ibisridge.SlotOf(string(key), 16))
	// Output:
	// 0 mat:4711 design/004711 true
	// slot 9
}

// A gate admits as many requests as the backend server can run at once and queues others;
// a refused request was not handed over.
func ExampleGate() {
	gate := ibisridge.NewGate(1, 4, start, ibisridge.WithAlgorithm(ibisridge.AlgorithmFixed))
	for id := range ibisridge.GateRequestID(2) {
		for _, effect := range gate.Update(ibisridge.GateArriveEvent{
			ID:       id,
			Deadline: start.Add(time.Second),
		}, start) {
			fmt.Printf("%T of request %d\n", effect, id)
		}
	}
	fmt.Println(gate.Running(), "runs,", gate.Waiting(), "waits")
	for _, effect := range gate.Update(
		ibisridge.GateFinishEvent{Latency: 10 * time.Millisecond},
		start.Add(10*time.Millisecond),
	) {
		fmt.Printf("%T\n", effect)
	}
	// Output:
	// ibisadmit.AdmitEffect of request 0
	// 1 runs, 1 waits
	// ibisadmit.AdmitEffect
}

// A chooser prefers its own failure domain while that has free capacity, and never leaves a tenant's home regions.
func ExampleChooser() {
	own := ibisridge.Place{
		Region: "uusimaa",
		Domain: "helsinki-a",
	}
	chooser := ibisridge.NewChooser(own, rand.New(rand.NewPCG(1, 2)), ibisridge.WithMinUsableCandidates(1))
	chooser.Update(ibisridge.ChoiceCandidatesEvent{Candidates: []ibisridge.ChoiceCandidate{
		{
			Node:  "near",
			Place: own,
			Slots: 10,
		},
		{
			Node: "far",
			Place: ibisridge.Place{
				Region: "pirkanmaa",
				Domain: "tampere-a",
			},
			Slots: 10,
		},
	}}, start)
	fmt.Println(chooser.Choose(ibisridge.ChoiceRequest{}, start).Node)
	fmt.Println(chooser.Choose(ibisridge.ChoiceRequest{Homes: []ibisridge.RegionName{"pirkanmaa"}}, start).Node)
	fmt.Println(chooser.Choose(ibisridge.ChoiceRequest{Homes: []ibisridge.RegionName{"oulu"}}, start).Refusal)
	// Output:
	// near
	// far
	// home
}

// A repeat of a finished request gets the first answer; a ticket contains the slot that it is bound to.
func ExampleOnceMemory() {
	slot := ibisridge.Slot{
		Space: ibisridge.SlotSpace{Service: "print-floor"},
		Index: 7,
	}
	memory := ibisridge.NewOnceMemory([]byte("a secret of all members"), ibisridge.WithRetention(time.Hour))
	memory.Acquire(slot, 1, ibisridge.OnceTakeoverFresh, start)
	ticket, _ := memory.IssueTicket(slot, "kynnysmatto")
	order := ibisridge.OnceBeginEvent{
		Slot:   slot,
		Tenant: "kynnysmatto",
		Key:    ticket,
	}
	first := memory.Begin(order, start)
	fmt.Println(first.Verdict, memory.MarkSent(first.Run))
	fmt.Println(memory.Begin(order, start).Verdict)
	memory.Finish(first.Run, ibisridge.OnceAnswer{Status: 201}, start)
	repeat := memory.Begin(order, start)
	fmt.Println(repeat.Verdict, repeat.Answer.Status)
	bound, _ := memory.TicketSlot(ticket)
	fmt.Println(bound)
	// Output:
	// run true
	// running
	// repeat 201
	// print-floor/7
}

// A claim whose commit got no answer reads the row and recognizes its own commit by the commit id.
func ExampleClaim() {
	claim, effect := ibisridge.NewClaim("claim-1")
	fmt.Printf("%T\n", effect)
	claim, effect = claim.Update(ibisridge.ClaimUnavailableEvent{})
	fmt.Printf("%T\n", effect)
	claim, _ = claim.Update(ibisridge.ClaimReadEvent{
		Found:    true,
		CommitID: "claim-1",
	})
	fmt.Println(claim.Phase())
	// Output:
	// ibisidempotency.ClaimCommitEffect
	// ibisidempotency.ClaimReadEffect
	// run
}
