package ibistrial

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/request/ibisadmit"
)

// server is a fake backend server behind its gate.
type server struct {
	name      ibisid.NodeName
	place     ibisid.Place
	gate      *ibisadmit.Gate
	random    *rand.Rand
	spells    []spell
	coldFrom  time.Time
	coldSpan  time.Duration
	realSlots int
	running   int
	served    int
	overrun   int
	liar      bool
	attempts  map[ibisadmit.RequestID]*attempt
}

type spell struct {
	from time.Time
	to   time.Time
}

// capacity returns the number of requests that the server bears at the time.
func (s *server) capacity(now time.Time) int {
	if s.coldSpan == 0 || now.Before(s.coldFrom) {
		return s.realSlots
	}
	warm := float64(now.Sub(s.coldFrom)) / float64(s.coldSpan)
	return min(s.realSlots, 1+int(float64(s.realSlots-1)*warm))
}

// begin starts a request and returns when it ends: work above the capacity slows the server more than in proportion.
func (s *server) begin(now time.Time) time.Time {
	s.running++
	capacity := s.capacity(now)
	s.overrun = max(s.overrun, s.running-capacity)
	work := float64(fixedWork) + s.random.ExpFloat64()*float64(meanExtraWork)
	crowd := float64(s.running) / float64(capacity)
	if crowd > 1 {
		work *= math.Pow(crowd, 1.5)
	}
	return s.endOf(time.Duration(work), now)
}

// endOf returns when so much work is done, at a tenth of the speed during a spell.
func (s *server) endOf(work time.Duration, now time.Time) time.Time {
	for _, sp := range s.spells {
		if !sp.to.After(now) {
			continue
		}
		if sp.from.After(now.Add(work)) {
			break
		}
		if sp.from.After(now) {
			work -= sp.from.Sub(now)
			now = sp.from
		}
		inside := sp.to.Sub(now)
		if work*spellFactor <= inside {
			return now.Add(work * spellFactor)
		}
		work -= inside / spellFactor
		now = sp.to
	}
	return now.Add(work)
}

// load returns what the server reports.
func (s *server) load() float64 {
	if s.liar {
		return 0
	}
	return float64(s.running+s.gate.Waiting()) / slots
}

// planSpells hits one or two servers each second.
func planSpells(servers []*server, length, duration time.Duration, start time.Time, random *rand.Rand) {
	if length == 0 {
		return
	}
	for at := spellPeriod; at < duration; at += spellPeriod {
		picks := random.Perm(len(servers))[:1+random.IntN(2)]
		for _, i := range picks {
			servers[i].spells = append(servers[i].spells, spell{
				from: start.Add(at),
				to:   start.Add(at + length),
			})
		}
	}
}
