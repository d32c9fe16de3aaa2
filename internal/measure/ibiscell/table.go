package ibiscell

import (
	"context"
	"strings"

	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

func (w *world) context() context.Context { return context.Background() }

// slowEvery is which of the operations of a slow platform are answered after their caller gave up.
const slowEvery = 2

// tableFault says whether an operation takes effect, when, and whether its answer arrives.
func (n *node) tableFault(write bool) (effect, late, answer bool) {
	w := n.world
	switch {
	case n.mute, w.weather.down:
		return false, false, false
	case n.deaf:
		return true, false, false
	case w.weather.slow:
		w.weather.operations++
		slow := w.weather.operations%slowEvery == 0
		return true, slow, !slow
	case write && w.weather.loseCommits > 0:
		w.weather.loseCommits--
		return true, false, false
	}
	return true, false, true
}

// Read reads a row of the table unless a fault is in the way.
func (n *node) Read(ctx context.Context, key string) (ibisplatform.Row, bool, error) {
	if _, _, answer := n.tableFault(false); !answer {
		return ibisplatform.Row{}, false, ibisplatform.ErrUnavailable
	}
	return n.world.store.Read(ctx, key)
}

// Scan reads rows of the table unless a fault is in the way.
func (n *node) Scan(ctx context.Context, prefix string) ([]ibisplatform.Row, error) {
	if _, _, answer := n.tableFault(false); !answer {
		return nil, ibisplatform.ErrUnavailable
	}
	return n.world.store.Scan(ctx, prefix)
}

// Commit commits unless a fault is in the way; a slow commit takes effect after its sender has given up.
func (n *node) Commit(ctx context.Context, commit ibisplatform.Commit) (ibisplatform.CommitResult, error) {
	w := n.world
	for _, write := range commit.Writes {
		w.points("commit "+kindOf(write.Key), n)
	}
	effect, late, answer := n.tableFault(true)
	if n.dead || n.frozen {
		effect, late, answer = true, false, false
	}
	if !effect {
		return ibisplatform.CommitResult{}, ibisplatform.ErrUnavailable
	}
	if late {
		w.after(lateBy, func() { _, _ = w.commit(context.Background(), commit) })
		return ibisplatform.CommitResult{}, ibisplatform.ErrUnavailable
	}
	result, err := w.commit(ctx, commit)
	if !answer {
		return ibisplatform.CommitResult{}, ibisplatform.ErrUnavailable
	}
	for _, write := range commit.Writes {
		w.points("committed "+kindOf(write.Key), n)
	}
	return result, err
}

func (w *world) commit(ctx context.Context, commit ibisplatform.Commit) (ibisplatform.CommitResult, error) {
	result, err := w.store.Commit(ctx, commit)
	if err == nil && result.Status == ibisplatform.CommitApplied {
		w.pages.follow(w, commit, result.Version)
	}
	return result, err
}

// Put, Get and List reach the object store unless a fault is in the way.
func (n *node) Put(ctx context.Context, name string, body []byte) error {
	effect, _, answer := n.tableFault(true)
	if effect {
		if err := n.world.store.Put(ctx, name, body); err != nil {
			return err
		}
	}
	if !answer {
		return ibisplatform.ErrUnavailable
	}
	return nil
}

// Get reads an object.
func (n *node) Get(ctx context.Context, name string) ([]byte, bool, error) {
	if _, _, answer := n.tableFault(false); !answer {
		return nil, false, ibisplatform.ErrUnavailable
	}
	return n.world.store.Get(ctx, name)
}

// List lists objects.
func (n *node) List(ctx context.Context, prefix string) ([]string, error) {
	if _, _, answer := n.tableFault(false); !answer {
		return nil, ibisplatform.ErrUnavailable
	}
	return n.world.store.List(ctx, prefix)
}

func kindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}
