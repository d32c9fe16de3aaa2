package ibisneighbor

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// maxRemovedRows bounds the removed rows that a copy keeps for neighbors that still have them: an hour of instance
// replacements in the largest deployment. Beyond it, the copy drops all of them, and neighbors at an older version must read
// from the store.
const maxRemovedRows = 512

// Copy is a node's copy of the rows of one table, including recently removed ones; it is safe for concurrent use.
type Copy struct {
	mu           sync.Mutex
	rows         map[ibisstore.Key]ibisstore.Row
	removedCount int
	// completeSince is the version after which the copy has every change, and version the newest one that it has.
	completeSince uint64
	version       uint64
	// reachable reports whether the store answers this node, and direct whether the node reads changes from the store and
	// not from a neighbor: two nodes that asked each other would both wait for changes forever.
	reachable bool
	direct    bool
	closed    bool
	changed   chan struct{}
}

// NewCopy returns an empty copy.
func NewCopy() *Copy {
	return &Copy{
		rows:    make(map[ibisstore.Key]ibisstore.Row),
		changed: make(chan struct{}),
	}
}

// Apply merges rows that the node has read, as of the version, and marks the store as reachable. If full is true, they are
// all rows that the node follows and replace those of the copy.
func (c *Copy) Apply(rows []ibisstore.Row, full bool, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if full {
		clear(c.rows)
		c.removedCount = 0
		c.completeSince, c.version = version, version
	}
	for _, row := range rows {
		known, ok := c.rows[row.Key]
		if ok && known.Version >= row.Version {
			continue
		}
		if ok && known.Removed {
			c.removedCount--
		}
		if row.Removed {
			c.removedCount++
		}
		c.rows[row.Key] = row
	}
	c.version = max(c.version, version)
	if c.removedCount > maxRemovedRows {
		maps.DeleteFunc(c.rows, func(_ ibisstore.Key, row ibisstore.Row) bool { return row.Removed })
		c.removedCount = 0
		c.completeSince = c.version
	}
	c.reachable = true
	c.notifyWaiters()
}

// SetReachable records whether the store answers the node. While it doesn't, neighbors must ask the store themselves.
func (c *Copy) SetReachable(reachable bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reachable = reachable
	c.notifyWaiters()
}

// Close makes the copy fail all requests of neighbors from now on, including those that wait for changes, which would delay
// the shutdown of the node.
func (c *Copy) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.notifyWaiters()
}

// setDirect records whether the node sends its next request for changes to the store and not to a neighbor.
func (c *Copy) setDirect(direct bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.direct == direct {
		return
	}
	c.direct = direct
	c.notifyWaiters()
}

func (c *Copy) notifyWaiters() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// ChangesAfter returns the changes after a version, sorted by version, and a channel that is closed at the next change of
// the copy. It returns false if the copy is closed or lacks some of these changes, or if the node can't reach the store or
// reads from a neighbor.
func (c *Copy) ChangesAfter(version uint64) (ibisstore.Snapshot, <-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.reachable || !c.direct || !c.hasAfter(version) {
		return ibisstore.Snapshot{}, c.changed, false
	}
	return c.changesAfter(version), c.changed, true
}

// updateFor returns what a node at the version lacks, for nodes that also read from the store themselves: the changes after the
// version or, if the copy doesn't have all of them, the whole table, which is what changed after version zero. It reports false if
// the copy is closed or empty.
func (c *Copy) updateFor(version uint64) (after uint64, changes ibisstore.Snapshot, changed <-chan struct{}, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.version == 0 {
		return 0, ibisstore.Snapshot{}, c.changed, false
	}
	if !c.hasAfter(version) {
		version = 0
	}
	return version, c.changesAfter(version), c.changed, true
}

// hasAfter reports whether the copy has every change after the version; c.mu is held.
func (c *Copy) hasAfter(version uint64) bool { return !c.closed && version >= c.completeSince }

// changesAfter returns the changes after the version; c.mu is held.
func (c *Copy) changesAfter(version uint64) ibisstore.Snapshot {
	out := ibisstore.Snapshot{
		Version: c.version,
	}
	for _, row := range c.rows {
		if row.Version > version {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b ibisstore.Row) int { return cmp.Compare(a.Version, b.Version) })
	return out
}
