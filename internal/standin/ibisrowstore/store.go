package ibisrowstore

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	maxEntries = 100
	maxRows    = 500
	maxText    = 200
	maxValue   = 64 << 10
)

// rowKey names a row.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row as it is told.
type row struct {
	rowKey
	Value   []byte `json:"value,omitempty"`
	Ver     uint64 `json:"ver,omitempty"`
	Removed bool   `json:"removed,omitempty"`
}

// expected is a condition of a transaction.
type expected struct {
	rowKey
	Ver uint64 `json:"ver"`
}

// transaction is a call that changes rows.
type transaction struct {
	Expected []expected `json:"expected"`
	Writes   []row      `json:"writes"`
	Remove   []rowKey   `json:"remove"`
	Across   bool       `json:"across"`
}

// Store holds the rows and objects.
type Store struct {
	mu      sync.Mutex
	began   time.Time
	rows    map[rowKey]row
	version uint64
	history []row
	// forgotten is the version up to which changes can't be told any more.
	forgotten uint64
	changed   chan struct{}
	objects   map[string][]byte
	// era counts how often the store has come back from an older copy, and undo holds what that takes.
	era  uint64
	undo []undoEntry
}

// moment is the newest version of the store and the era in which it was given out.
type moment struct {
	version uint64
	era     uint64
}

// now returns the present moment; s.mu is held.
func (s *Store) now() moment {
	return moment{
		version: s.version,
		era:     s.era,
	}
}

// undoLimit is how long ago a commit may be to be lost.
const undoLimit = 30 * time.Second

// undoEntry is what one commit has changed.
type undoEntry struct {
	at      time.Time
	version uint64
	// before holds the rows as they were, without a version where there was none.
	before []row
}

// New returns an empty store.
func New() *Store {
	return &Store{
		began:   time.Now(),
		rows:    make(map[rowKey]row),
		changed: make(chan struct{}),
		objects: make(map[string][]byte),
	}
}

// nowMs returns the steady clock in milliseconds.
func (s *Store) nowMs() int64 { return time.Since(s.began).Milliseconds() }

// fault returns why a transaction is not acceptable, empty where it is.
func (t transaction) fault() string {
	if len(t.Expected)+len(t.Writes)+len(t.Remove) > maxEntries {
		return "a transaction holds at most 100 entries"
	}
	var keys []rowKey
	for _, e := range t.Expected {
		keys = append(keys, e.rowKey)
	}
	for _, w := range t.Writes {
		keys = append(keys, w.rowKey)
		if len(w.Value) > maxValue {
			return "a value is too long"
		}
	}
	keys = append(keys, t.Remove...)
	for _, key := range keys {
		switch {
		case key.Table == "" || key.Key == "":
			return "a table or a key is empty"
		case max(len(key.Table), len(key.Part), len(key.Key)) > maxText:
			return "a name is longer than 200 bytes"
		case !t.Across && key.Part != keys[0].Part:
			return "the entries are of several partitions"
		}
	}
	return ""
}

// apply applies a transaction, or returns the rows of its conditions as they stand.
func (s *Store) apply(t transaction) (moment, []row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	held := true
	for _, e := range t.Expected {
		r, ok := s.rows[e.rowKey]
		if ok {
			current = append(current, r)
		}
		held = held && r.Ver == e.Ver
	}
	if !held {
		return s.now(), current, false
	}
	s.recordUndo(t)
	s.version++
	for _, w := range t.Writes {
		w.Ver = s.version
		s.rows[w.rowKey] = w
		s.history = append(s.history, w)
	}
	for _, key := range t.Remove {
		if _, ok := s.rows[key]; ok {
			delete(s.rows, key)
			s.history = append(s.history, row{
				rowKey:  key,
				Ver:     s.version,
				Removed: true,
			})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.now(), nil, true
}

// recordUndo records the rows that a transaction is about to change; s.mu is held.
func (s *Store) recordUndo(t transaction) {
	now := time.Now()
	entry := undoEntry{
		at:      now,
		version: s.version,
	}
	for _, key := range changed(t) {
		before := s.rows[key]
		before.rowKey = key
		entry.before = append(entry.before, before)
	}
	s.undo = slices.DeleteFunc(s.undo, func(u undoEntry) bool { return now.Sub(u.at) > undoLimit })
	s.undo = append(s.undo, entry)
}

// Rewind makes the store come back from a copy of the given age, which begins a new era: commits since then are gone, and
// their versions are given out again. The operator writes its rows again at once. It returns the new era.
func (s *Store) Rewind(age time.Duration) uint64 {
	s.mu.Lock()
	lost := time.Now().Add(-age)
	operator := make(map[rowKey]row)
	for key, r := range s.rows {
		if key.Table == tableOperator {
			operator[key] = r
		}
	}
	for n := len(s.undo); n > 0 && s.undo[n-1].at.After(lost); n = len(s.undo) {
		for _, r := range s.undo[n-1].before {
			if r.Ver == 0 {
				delete(s.rows, r.rowKey)
			} else {
				s.rows[r.rowKey] = r
			}
		}
		s.version = s.undo[n-1].version
		s.undo = s.undo[:n-1]
	}
	s.era++
	s.history = slices.DeleteFunc(s.history, func(r row) bool { return r.Ver > s.version })
	s.forgotten = min(s.forgotten, s.version)
	close(s.changed)
	s.changed = make(chan struct{})
	var again transaction
	for key, r := range operator {
		if s.rows[key].Ver != r.Ver {
			again.Writes = append(again.Writes, r)
		}
	}
	era := s.era
	s.mu.Unlock()
	if len(again.Writes) > 0 {
		s.apply(again)
	}
	return era
}

// Put writes a row as the operator would, without a condition.
func (s *Store) Put(table, part, key string, value []byte) {
	s.apply(transaction{
		Writes: []row{{
			rowKey: rowKey{
				Table: table,
				Part:  part,
				Key:   key,
			},
			Value: value,
		}},
	})
}

// Drop removes a row as the operator would.
func (s *Store) Drop(table, part, key string) {
	s.apply(transaction{
		Remove: []rowKey{{
			Table: table,
			Part:  part,
			Key:   key,
		}},
	})
}

// get returns the rows of a range of a partition, in order, and whether more follow.
func (s *Store) get(table, part, from, to string, limit int) ([]row, bool, moment) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []row
	for key, r := range s.rows {
		if key.Table == table && key.Part == part && key.Key >= from && (to == "" || key.Key < to) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if limit <= 0 || limit > maxRows {
		limit = maxRows
	}
	more := len(out) > limit
	return out[:min(limit, len(out))], more, s.now()
}

// parts returns the partitions of a table.
func (s *Store) parts(table, after string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	found := make(map[string]bool)
	for key := range s.rows {
		if key.Table == table && (after == "" || key.Part > after) {
			found[key.Part] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// feed returns the changes of a table after a version and a channel that is closed with the next change; lost says that
// the changes can't be told any more.
func (s *Store) feed(table string, after uint64) (rows []row, at moment, next <-chan struct{}, lost bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.forgotten || after > s.version {
		return nil, s.now(), nil, true
	}
	i, _ := slices.BinarySearchFunc(s.history, after+1, func(r row, v uint64) int { return cmp.Compare(r.Ver, v) })
	for _, r := range s.history[i:] {
		if r.Table == table {
			rows = append(rows, r)
		}
	}
	return rows, s.now(), s.changed, false
}

// Forget drops the history: feeds from before now can't be continued.
func (s *Store) Forget() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history = nil
	s.forgotten = s.version
	close(s.changed)
	s.changed = make(chan struct{})
}
