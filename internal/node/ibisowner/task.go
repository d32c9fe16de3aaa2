package ibisowner

import (
	"context"
	"time"
)

const (
	// maxTasks is the number of concurrent tasks.
	maxTasks        = 128
	tableTimeout    = 2 * time.Second
	callTimeout     = 800 * time.Millisecond
	handOverTimeout = 2 * time.Second
)

// outcome applies the result of a task under the control lock; it is nil if there is nothing to apply.
type outcome func(now time.Time)

// task is work outside the control lock for one incarnation of the node.
type task struct {
	epoch   uint64
	urgent  bool
	timeout time.Duration
	work    func(ctx context.Context) outcome
}

// Starter starts tasks.
type Starter interface {
	// Start runs the task on another goroutine without blocking; an urgent task does not wait for others.
	Start(urgent bool, task func())
}

// workers is a Starter that bounds the number of concurrent tasks.
type workers struct {
	semaphore chan struct{}
}

func newWorkers() *workers { return &workers{semaphore: make(chan struct{}, maxTasks)} }

// Start runs the task on its own goroutine, at once if it is urgent, otherwise when fewer than maxTasks run.
func (w *workers) Start(urgent bool, f func()) {
	if urgent {
		go f()
		return
	}
	go func() {
		w.semaphore <- struct{}{}
		defer func() { <-w.semaphore }()
		f()
	}()
}

// update runs f under the control lock, publishes the end of the lease and then starts the tasks that f added.
func (m *Manager) update(f func(now time.Time)) {
	m.mu.Lock()
	now := m.timer.Now()
	f(now)
	until, ok := m.holder.Valid(now)
	m.lease.publish(until, ok)
	if ok {
		m.leaseLastValid = now
	}
	m.unclaimedRecords.Store(int64(len(m.receivedRecords)))
	tasks := m.tasks
	m.tasks = nil
	m.mu.Unlock()
	for _, t := range tasks {
		m.starter.Start(t.urgent, func() { m.run(t) })
	}
}

// spawn adds a task; the control lock must be held.
func (m *Manager) spawn(timeout time.Duration, work func(ctx context.Context) outcome) {
	m.tasks = append(m.tasks, task{
		epoch:   m.epoch,
		timeout: timeout,
		work:    work,
	})
}

// spawnUrgent adds a task that does not wait for others, such as one that renews the node's own lease; the control lock
// must be held.
func (m *Manager) spawnUrgent(timeout time.Duration, work func(ctx context.Context) outcome) {
	m.spawn(timeout, work)
	m.tasks[len(m.tasks)-1].urgent = true
}

func (m *Manager) run(t task) {
	ctx, cancel := context.WithTimeout(m.context(), t.timeout)
	defer cancel()
	result := t.work(ctx)
	if result == nil {
		return
	}
	m.update(func(now time.Time) {
		if m.epoch == t.epoch {
			result(now)
		}
	})
}
