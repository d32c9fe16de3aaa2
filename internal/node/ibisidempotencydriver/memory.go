package ibisidempotencydriver

import (
	"sync"
	"time"

	"github.com/ibisridge/ibisridge/internal/base/ibistimer"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
	"github.com/ibisridge/ibisridge/internal/request/ibisidempotency"
)

// Memory is the at-most-once memory of one node. It is safe for concurrent use.
type Memory struct {
	table ibisplatform.Table
	timer ibistimer.Service

	mu   sync.Mutex
	core *ibisidempotency.Memory
}

// New returns a memory that holds no slots.
func New(config ibisidempotency.Config, table ibisplatform.Table, timer ibistimer.Service) *Memory {
	return &Memory{
		table: table,
		timer: timer,
		core:  ibisidempotency.New(config),
	}
}

// WithCore calls f with the decision core while it holds the lock of the memory.
func (m *Memory) WithCore(f func(core *ibisidempotency.Memory)) {
	m.mu.Lock()
	defer m.mu.Unlock()
	f(m.core)
}

// now returns the wall clock time, since the timestamps in UUIDs of callers are compared with it.
func (m *Memory) now() time.Time { return ibistimer.WallTime(m.timer, m.timer.Now()) }

// Begin decides whether a request runs. After a VerdictRun, the Run must be ended by Run.Finish, Run.NotRun or
// Run.FinishUnknown; after any other verdict, it must not be used.
func (m *Memory) Begin(event ibisidempotency.BeginEvent) (ibisidempotency.Response, *Run) {
	m.mu.Lock()
	defer m.mu.Unlock()
	response := m.core.Begin(event, m.now())
	return response, &Run{
		memory: m,
		run:    response.Run,
	}
}

// Run is a non-idempotent request that Begin has allowed to run.
type Run struct {
	memory *Memory
	run    ibisidempotency.Run
}

// MarkSent marks the request as sent to the backend server; it must be called right before the first byte is sent. It
// returns false if the request was already marked, has ended or was dropped with its slot; it must then not be sent.
func (r *Run) MarkSent() bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	return r.memory.core.MarkSent(r.run)
}

// NotRun ends a request that the backend server did not run, whether or not it was marked as sent.
func (r *Run) NotRun() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	if !r.memory.core.Abandon(r.run) {
		r.memory.core.Retract(r.run)
	}
}

// Finish ends the request and stores its answer for repeats.
func (r *Run) Finish(answer ibisidempotency.Answer) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.core.Finish(r.run, answer, r.memory.now())
}

// FinishUnknown ends a request that was marked as sent and whose outcome is unknown.
func (r *Run) FinishUnknown() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.memory.core.FinishUnknown(r.run, r.memory.now())
}
