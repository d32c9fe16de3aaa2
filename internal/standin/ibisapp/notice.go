package ibisapp

import (
	"net/http"
	"strconv"
	"time"
)

const (
	// limitNoticeTime and leavingNoticeTime are how long the nodes have until they must act on a limit, and on the server's leaving.
	limitNoticeTime   = 3 * time.Second
	leavingNoticeTime = 2500 * time.Millisecond
	// limitWindow is the time over which requests are counted; limitFactor times the limit and limitSlack requests are allowed.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// notice is what a server says of itself in its answers.
type notice struct {
	// perSecond is the limit in requests a second, zero for none.
	perSecond float64
	limitedAt time.Time
	// arrivals holds the requests of the last limitWindow that count against the limit.
	arrivals []time.Time
	leaving  bool
	// toldLeavingAt is when the first answer said that the server leaves.
	toldLeavingAt time.Time
}

// SetRateLimit makes the server name a limit in requests a second in its answers, none if it is zero.
func (s *Server) SetRateLimit(perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice.perSecond = perSecond
	s.notice.limitedAt = time.Time{}
	s.notice.arrivals = nil
}

// SayLeaving makes the server say in its answers that it leaves; its heartbeats don't say so.
func (s *Server) SayLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notice.leaving = true
}

// writeNotice adds what the server says of itself to an answer.
func (s *Server) writeNotice(header http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if s.notice.perSecond > 0 {
		header.Set("Server-Limit", strconv.FormatFloat(s.notice.perSecond, 'f', 1, 64))
		if s.notice.limitedAt.IsZero() {
			s.notice.limitedAt = now
		}
	}
	if s.notice.leaving {
		header.Set("Server-Leaving", "1")
		if s.notice.toldLeavingAt.IsZero() {
			s.notice.toldLeavingAt = now
		}
	}
}

// checkNotice reports requests that arrive against what the server has said of itself.
func (s *Server) checkNotice(id string) {
	s.mu.Lock()
	now := time.Now()
	n := &s.notice
	told, limited, perSecond := n.toldLeavingAt, n.limitedAt, n.perSecond
	if !limited.IsZero() && now.Sub(limited) > limitNoticeTime {
		n.arrivals = append(n.arrivals, now)
		for now.Sub(n.arrivals[0]) >= limitWindow {
			n.arrivals = n.arrivals[1:]
		}
	}
	arrived := len(n.arrivals)
	s.mu.Unlock()
	if allowed := limitFactor*perSecond*limitWindow.Seconds() + limitSlack; !limited.IsZero() && float64(arrived) > allowed {
		s.ledger.Report("request %s is number %d in %s at %s, which names a limit of %.1f a second", id, arrived, limitWindow, s.config.ID, perSecond)
	}
	if !told.IsZero() && now.Sub(told) > leavingNoticeTime {
		s.ledger.Report("request %s reaches %s %s after it has said that it leaves", id, s.config.ID, now.Sub(told))
	}
}
