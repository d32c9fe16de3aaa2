package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the file that tells what was sent, answered and run; it is safe for concurrent use.
type record struct {
	mu     sync.Mutex
	file   *os.File
	began  time.Time
	broken int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{
		file:  file,
		began: time.Now(),
	}, nil
}

// at returns the seconds since the beginning of the record.
func (r *record) at(t time.Time) float64 { return t.Sub(r.began).Seconds() }

// add writes a line with the time.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", r.at(time.Now()), fmt.Sprintf(format, args...))
}

// violation writes a line about a broken rule.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	r.broken++
	r.mu.Unlock()
	r.add("BROKEN "+format, args...)
}

// violations returns the number of broken rules.
func (r *record) violations() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.broken
}
