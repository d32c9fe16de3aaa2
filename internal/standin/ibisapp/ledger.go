package ibisapp

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Ledger notes what backend servers did and which promises were broken.
type Ledger struct {
	mu     sync.Mutex
	runs   map[string]int
	once   map[string]bool
	served map[string]time.Time
	tokens map[int]uint64
	holds  map[*Server][]hold
	broken []string
	total  int
	// ends holds the ends of servers by the path of the request under which they did.
	ends map[string]*endings
	// secrets are texts that must not reach backend servers.
	secrets []string
}

// endings are the ends of servers under one request.
type endings struct {
	total int
	// blockable is when as many had ended as are needed to block the request.
	blockable time.Time
	// late is the number that ended later than crashNoticeTime after that, under requests that count.
	late int
}

// tokenStep is the distance of the keys whose tokens are noted.
const tokenStep = 64

// NewLedger returns a ledger without entries.
func NewLedger() *Ledger {
	return &Ledger{
		runs:   make(map[string]int),
		once:   make(map[string]bool),
		served: make(map[string]time.Time),
		tokens: make(map[int]uint64),
		holds:  make(map[*Server][]hold),
		ends:   make(map[string]*endings),
	}
}

// Bounds of what a request that ends servers may still do: from crashNoticeTime after it has ended blockingEnds of them, it may reach
// allowedEnds more.
const (
	blockingEnds    = 3
	crashNoticeTime = 3 * time.Second
	allowedEnds     = 3
)

// ended notes that a server ends under a request for the path, which counts if its node was in touch when it was sent.
func (l *Ledger) ended(s *Server, path string, counts bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e := l.ends[path]
	if e == nil {
		e = &endings{}
		l.ends[path] = e
	}
	e.total++
	if e.total == blockingEnds {
		e.blockable = time.Now()
	}
	if e.total > blockingEnds && counts && time.Since(e.blockable) > crashNoticeTime {
		e.late++
	}
	if e.late > allowedEnds {
		l.report("request for %s ends %s, number %d and %d later than %s after the third", path, s.config.ID, e.total, e.late, crashNoticeTime)
	}
}

// Broken returns the promises that were broken, as texts that say where and when.
func (l *Ledger) Broken() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...)
}

// Report adds a broken promise that somebody else saw.
func (l *Ledger) Report(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report(format, args...)
}

func (l *Ledger) report(format string, args ...any) {
	l.broken = append(l.broken, time.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

// AddSecret adds a text, such as a key of an account, that must not reach backend servers.
func (l *Ledger) AddSecret(secret string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.secrets = append(l.secrets, secret)
}

// Secrets returns the texts that must not reach backend servers.
func (l *Ledger) Secrets() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.secrets...)
}

// checkSecrets reports a request whose headers contain a secret.
func (l *Ledger) checkSecrets(s *Server, id string, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for name, values := range r.Header {
		for _, secret := range l.secrets {
			if strings.Contains(strings.Join(values, "\n"), secret) {
				l.report("request %s takes a secret to %s, in the header %s", id, s.config.ID, name)
			}
		}
	}
}

// Runs returns how often a request has run.
func (l *Ledger) Runs(id string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.runs[id]
}

// Total returns the number of runs.
func (l *Ledger) Total() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.total
}

// Refused notes that a caller was told that a request has not run and won't.
func (l *Ledger) Refused(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.served[id] = time.Now()
	if l.runs[id] > 0 && l.once[id] {
		l.report("request %s was refused as not run, and has run", id)
	}
}

// begin notes that a server begins to run a request.
func (l *Ledger) begin(s *Server, id string, once bool, key int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.total++
	l.runs[id]++
	l.once[id] = once
	if once && l.runs[id] > 1 {
		l.report("request %s runs a second time, at %s", id, s.config.ID)
	}
	if _, refused := l.served[id]; refused && once {
		l.report("request %s runs at %s after it was refused as not run", id, s.config.ID)
	}
	if key < 0 {
		return
	}
	now := time.Now()
	for other, holds := range l.holds {
		if other == s || !other.Up() {
			continue
		}
		for _, h := range holds {
			if h.from <= key && key <= h.to && now.Before(h.until) {
				l.report("key %d runs at %s while %s holds %d to %d", key, s.config.ID, other.config.ID, h.from, h.to)
			}
		}
	}
}

// granted notes what a server holds now, and checks tokens and that nobody else holds it.
func (l *Ledger) granted(s *Server, holds []hold) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holds[s] = append([]hold(nil), holds...)
	now := time.Now()
	for _, h := range holds {
		for key := h.from; key <= h.to; key += tokenStep {
			if l.tokens[key] > h.token {
				l.report("%s takes key %d under token %d, after token %d", s.config.ID, key, h.token, l.tokens[key])
				break
			}
			l.tokens[key] = h.token
		}
		for other, held := range l.holds {
			if other == s || !other.Up() {
				continue
			}
			for _, o := range held {
				if h.from <= o.to && o.from <= h.to && now.Before(o.until) && now.Before(h.until) {
					l.report("%s holds %d to %d while %s holds %d to %d", s.config.ID, h.from, h.to, other.config.ID, o.from, o.to)
				}
			}
		}
	}
}

// Held returns the number of keys that servers which are up hold.
func (l *Ledger) Held() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n, now := 0, time.Now()
	for s, holds := range l.holds {
		for _, h := range holds {
			if s.Up() && now.Before(h.until) {
				n += h.to - h.from + 1
			}
		}
	}
	return n
}
