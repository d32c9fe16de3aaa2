package ibistrial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/measure/ibisagenda"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
	"github.com/ibisridge/ibisridge/internal/request/ibisbalancer"
	"github.com/ibisridge/ibisridge/internal/request/ibisretry"
)

const (
	seedArrivals = iota
	seedSpells
	seedDoors
	seedRetries
	seedServers
)

const unboundedSlots = 1 << 20

// trial is one run of a scenario.
type trial struct {
	*ibisagenda.Agenda
	scenario  Scenario
	start     time.Time
	end       time.Time
	servers   []*server
	doors     []*door
	byName    map[ibisid.NodeName]*server
	arrivals  *rand.Rand
	number    uint64
	latencies []time.Duration
	result    Result
}

// Run runs a scenario and returns what it measured.
func Run(s Scenario) Result {
	t := newTrial(s)
	t.planReports()
	t.planTicks()
	t.planCold()
	t.planDomain()
	t.arriveNext()
	t.RunUntil(t.end.Add(10 * time.Second))
	return t.measure()
}

func newTrial(s Scenario) *trial {
	start := time.Unix(1_000_000, 0)
	t := &trial{
		Agenda:   ibisagenda.New(start),
		scenario: s,
		start:    start,
		end:      start.Add(s.Duration),
		byName:   make(map[ibisid.NodeName]*server),
		arrivals: s.source(seedArrivals, 0),
	}
	for i, place := range s.Places {
		t.addServer(i, place)
	}
	planSpells(t.servers, s.Spells, s.Duration, start, s.source(seedSpells, 0))
	for i, place := range s.Places {
		t.addDoor(i, place)
	}
	return t
}

func (s Scenario) source(purpose, index int) *rand.Rand {
	return rand.New(rand.NewPCG(s.Seed, uint64(purpose)<<32|uint64(index)))
}

func (t *trial) addServer(i int, place ibisid.Place) {
	config := ibisadmit.Config{
		Slots:       slots,
		Connections: connections,
		ColdStart:   t.scenario.ColdStart,
		Algorithm:   t.scenario.Algorithm,
	}
	if t.scenario.NoGate {
		config.Slots = unboundedSlots
		config.Connections = unboundedSlots
		config.Algorithm = ibisadmit.AlgorithmFixed
	}
	s := &server{
		name:      ibisid.NodeName(fmt.Sprintf("n%02d", i)),
		place:     place,
		gate:      ibisadmit.New(config, t.Now()),
		random:    t.scenario.source(seedServers, i),
		realSlots: slots,
		liar:      i < t.scenario.Liars,
		attempts:  make(map[ibisadmit.RequestID]*attempt),
	}
	if t.scenario.RealSlots > 0 {
		s.realSlots = t.scenario.RealSlots
	}
	t.servers = append(t.servers, s)
	t.byName[s.name] = s
}

func (t *trial) addDoor(i int, place ibisid.Place) {
	d := &door{
		place:    place,
		picker:   newPicker(t.scenario, place, t.scenario.source(seedDoors, i)),
		policy:   ibisretry.New(ibisretry.Config{}, t.scenario.source(seedRetries, i)),
		requests: make(map[ibisretry.RequestID]*request),
	}
	d.picker.update(t.candidates(""), t.Now())
	t.doors = append(t.doors, d)
}

func (t *trial) candidates(without ibisid.DomainName) ibisbalancer.CandidatesEvent {
	var list []ibisbalancer.Candidate
	for _, s := range t.servers {
		if s.place.Domain == without {
			continue
		}
		list = append(list, ibisbalancer.Candidate{
			Node:  s.name,
			Place: s.place,
			Slots: slots,
		})
	}
	return ibisbalancer.CandidatesEvent{
		Candidates: list,
	}
}

// capacity is the number of requests a second that all servers bear.
func (t *trial) capacity() float64 {
	return float64(len(t.servers)*t.servers[0].realSlots) / meanWork.Seconds()
}

func (t *trial) arriveNext() {
	gap := t.arrivals.ExpFloat64() / (t.capacity() * t.scenario.Load)
	t.After(time.Duration(gap*float64(time.Second)), func() {
		if t.Now().After(t.end) {
			return
		}
		t.arrive(t.doors[t.arrivals.IntN(len(t.doors))])
		t.arriveNext()
	})
}

func (t *trial) arrive(d *door) {
	t.number++
	t.result.Requests++
	id := ibisretry.RequestID(t.number)
	deadline := t.Now().Add(t.scenario.Deadline)
	d.requests[id] = &request{
		begun:    t.Now(),
		deadline: deadline,
		attempts: make(map[ibisretry.Attempt]*attempt),
	}
	t.follow(d, d.policy.Update(ibisretry.StartEvent{
		ID:         id,
		Class:      className,
		Idempotent: true,
		Hedge:      t.scenario.Policy == PolicyHedged,
		Deadline:   deadline,
	}, t.Now()))
}

func (t *trial) follow(d *door, effects []ibisretry.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case ibisretry.SendEffect:
			t.send(d, e)
		case ibisretry.CancelEffect:
			t.cancel(d.requests[e.ID].attempts[e.Attempt])
		case ibisretry.WakeEffect:
			t.At(e.At, func() { t.follow(d, d.policy.Update(ibisretry.WakeEvent{ID: e.ID}, t.Now())) })
		case ibisretry.FinishEffect:
			t.finish(d, e)
		}
	}
	t.forget(d, effects)
}

// forget drops the requests that ended, once the cancels that come with the end were followed.
func (t *trial) forget(d *door, effects []ibisretry.Effect) {
	for _, effect := range effects {
		if e, ok := effect.(ibisretry.FinishEffect); ok {
			delete(d.requests, e.ID)
		}
	}
}

func (t *trial) planReports() {
	if t.Now().After(t.end) {
		return
	}
	for _, s := range t.servers {
		event := ibisbalancer.LoadReportEvent{
			Node: s.name,
			Load: s.load(),
			At:   t.Now(),
		}
		t.After(reportDelay, func() {
			for _, d := range t.doors {
				d.picker.update(event, t.Now())
			}
		})
	}
	t.After(reportPeriod, t.planReports)
}

func (t *trial) planTicks() {
	if t.Now().After(t.end.Add(time.Second)) {
		return
	}
	for _, s := range t.servers {
		t.gateUpdate(s, ibisadmit.TickEvent{})
	}
	t.After(ibisadmit.TickPeriod, t.planTicks)
}

func (t *trial) planCold() {
	if t.scenario.ColdAt < 0 || t.scenario.ColdStart == 0 {
		return
	}
	for _, s := range t.servers {
		s.coldFrom = t.start.Add(t.scenario.ColdAt)
		s.coldSpan = t.scenario.ColdStart
		if !t.scenario.ColdSilent {
			t.At(s.coldFrom, func() { t.gateUpdate(s, ibisadmit.ColdEvent{}) })
		}
	}
}

// planDomain takes a failure domain out and back: its gates know at once, the doors after the notice.
func (t *trial) planDomain() {
	out := t.scenario.OutDomain
	if out == "" {
		return
	}
	leave := t.start.Add(t.scenario.Duration / 3)
	back := t.start.Add(t.scenario.Duration * 2 / 3)
	for _, s := range t.servers {
		if s.place.Domain != out {
			continue
		}
		t.At(leave, func() { t.gateUpdate(s, ibisadmit.DomainEvent{OutOfService: true}) })
		t.At(back, func() { t.gateUpdate(s, ibisadmit.DomainEvent{RampUp: t.scenario.Duration / 6}) })
	}
	for _, d := range t.doors {
		t.At(leave.Add(domainNotice), func() { d.picker.update(t.candidates(out), t.Now()) })
		t.At(back.Add(domainNotice), func() { d.picker.update(t.candidates(""), t.Now()) })
	}
}

func (t *trial) measure() Result {
	r := t.result
	slices.Sort(t.latencies)
	r.P50 = t.quantile(0.5)
	r.P99 = t.quantile(0.99)
	r.P999 = t.quantile(0.999)
	r.Goodput = float64(r.Done) / (t.capacity() * t.scenario.Duration.Seconds())
	var counts ibisretry.Counts
	for _, d := range t.doors {
		r.Lost += len(d.requests)
		c := d.policy.Counts()
		counts.Attempts += c.Attempts
		counts.Hedges += c.Hedges
	}
	r.Offered = float64(counts.Attempts) / float64(r.Requests)
	r.Hedges = float64(counts.Hedges) / float64(r.Requests)
	most, total := 0, 0
	for _, s := range t.servers {
		most = max(most, s.served)
		total += s.served
		r.Overrun = max(r.Overrun, s.overrun)
		r.MeanLimit += float64(s.gate.Limit(t.Now())) / float64(len(t.servers))
	}
	r.Imbalance = float64(most*len(t.servers)) / float64(max(1, total))
	return r
}

func (t *trial) quantile(q float64) time.Duration {
	if len(t.latencies) == 0 {
		return 0
	}
	return t.latencies[min(len(t.latencies)-1, int(q*float64(len(t.latencies))))]
}
