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
	slots chan struct{}
}

func newWorkers() *workers { return &workers{slots: make(chan struct{}, maxTasks)} }

// Start runs the task on its own goroutine, at once if it is urgent, otherwise when fewer than maxTasks run.
func (w *workers) Start(urgent bool, f func()) {
	if urgent {
		go f()
		return
	}
	go func() {
		w.slots <- struct{}{}
		defer func() { <-w.slots }()
		f()
	}()
}

// update runs f under the control lock, publishes the end of the lease and then starts the tasks that f added.
func (k *Manager) update(f func(now time.Time)) {
	k.mu.Lock()
	now := k.timer.Now()
	f(now)
	until, ok := k.holder.Valid(now)
	k.lease.publish(until, ok)
	if ok {
		k.leaseLastValid = now
	}
	k.unclaimedRecords.Store(int64(len(k.receivedRecords)))
	tasks := k.tasks
	k.tasks = nil
	k.mu.Unlock()
	for _, t := range tasks {
		k.starter.Start(t.urgent, func() { k.run(t) })
	}
}

// spawn adds a task; the control lock must be held.
func (k *Manager) spawn(timeout time.Duration, work func(ctx context.Context) outcome) {
	k.tasks = append(k.tasks, task{
		epoch:   k.epoch,
		timeout: timeout,
		work:    work,
	})
}

// spawnUrgent adds a task that does not wait for others, such as one that renews the node's own lease; the control lock
// must be held.
func (k *Manager) spawnUrgent(timeout time.Duration, work func(ctx context.Context) outcome) {
	k.spawn(timeout, work)
	k.tasks[len(k.tasks)-1].urgent = true
}

func (k *Manager) run(t task) {
	ctx, cancel := context.WithTimeout(k.context(), t.timeout)
	defer cancel()
	result := t.work(ctx)
	if result == nil {
		return
	}
	k.update(func(now time.Time) {
		if k.epoch == t.epoch {
			result(now)
		}
	})
}
