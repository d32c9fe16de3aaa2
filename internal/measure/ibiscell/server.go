package ibiscell

import (
	"fmt"
	"net/http"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisbackend"
	"github.com/ibisridge/ibisridge/internal/peer/ibiscaller"
)

const (
	serverSlots = 8
	coldSlots   = 2
	serviceTime = 120 * time.Millisecond
	// coldTime is how long a request takes in a cold start, by which alone a gate sees one that was not announced.
	coldTime = 480 * time.Millisecond
	// longTime is just below the longest order that the document allows.
	longTime     = 1900 * time.Millisecond
	straggleTime = 300 * time.Millisecond
	// headerAttempt names one attempt of a caller's request, for the books alone.
	headerAttempt = "Test-Attempt"
	// coldNotice is how long a gate may take to see that its server turned cold without a word.
	coldNotice = 2 * time.Second
)

// server is a backend server in memory.
type server struct {
	node     *node
	dead     bool
	running  int
	coldFrom time.Time
	cold     time.Time
	slow     time.Time
	tokens   map[string]ibisid.Token
	busy     map[string]int
	revision ibisid.Revision
	// loseAnswers is how many of the next answers break off after the run.
	loseAnswers int
}

func newServer(n *node, cold bool) *server {
	s := &server{
		node:   n,
		tokens: make(map[string]ibisid.Token),
		busy:   make(map[string]int),
	}
	if cold {
		s.cold = n.world.now().Add(coldStart)
	}
	return s
}

// turnCold makes the server cold without a word.
func (s *server) turnCold() {
	s.coldFrom = s.node.world.now()
	s.cold = s.coldFrom.Add(coldStart)
}

// bears returns the number of requests that the server bears at once: in a cold start it grows evenly to the slots.
func (s *server) bears() int {
	left := s.cold.Sub(s.node.world.now())
	if left <= 0 {
		return serverSlots
	}
	grown := float64(serverSlots-coldSlots) * (1 - float64(left)/float64(coldStart))
	return coldSlots + int(grown)
}

// run runs a request and gives the answer later; nothing has run where it is refused.
func (s *server) run(request ibisbackend.Request, answer func(ibisbackend.Result)) {
	w := s.node.world
	if s.dead || !s.takes(request.Grant) {
		w.after(connectTime, func() {
			answer(ibisbackend.Result{
				Outcome: ibisid.OutcomeNotRun,
				Err:     errNoAnswer,
			})
		})
		return
	}
	slot := ""
	if request.Grant != nil {
		slot = request.Grant.Slot
	}
	key := request.Header.Get(ibiscaller.HeaderIdempotencyKey)
	attempt := request.Header.Get(headerAttempt)
	w.handedOver(s, slot, key, attempt)
	s.running++
	s.busy[slot]++
	w.points("running", s.node)
	took := serviceTime
	if !w.checks && w.load && w.random.IntN(2) == 0 {
		took = longTime
	}
	if w.now().Before(s.slow) {
		took = straggleTime
	}
	if w.now().Before(s.cold) {
		took = coldTime
	}
	// A server keeps the deadline that it was told and ends what is late without an answer.
	left := s.node.clock.real(request.Deadline.Sub(s.node.Now()))
	late := !request.Deadline.IsZero() && left < took
	if late {
		took = left
	}
	w.after(took, func() {
		s.running--
		s.busy[slot]--
		if s.dead || late {
			return
		}
		w.points("ran", s.node)
		if s.loseAnswers > 0 {
			s.loseAnswers--
			answer(ibisbackend.Result{
				Outcome: ibisid.OutcomeUnknown,
				Err:     errNoAnswer,
			})
			return
		}
		body := fmt.Appendf(nil, "%s|%s|%d", request.URI, key, w.runsOf(key))
		answer(ibisbackend.Result{
			Outcome: ibisid.OutcomeDone,
			Answer:  ibisbackend.NewStoredAnswer(http.StatusOK, http.Header{}, body),
		})
	})
}

// takes checks a grant as a fenced server does.
func (s *server) takes(grant *ibisbackend.Grant) bool {
	if grant == nil || !s.node.world.checks {
		return true
	}
	if grant.Token < s.tokens[grant.Slot] || !s.node.Now().Before(grant.Until) {
		return false
	}
	s.tokens[grant.Slot] = grant.Token
	return true
}
