package ibisneighbor

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/ibisridge/ibisridge/internal/relay/ibisstore"
)

// mostRemoved bounds the removed rows that are remembered for neighbors who still have them: an hour of replacements in
// the largest deployment.
const mostRemoved = 512

// Copy is the rows of one table as this node knows them; it is safe for concurrent use.
type Copy struct {
	mu      sync.Mutex
	rows    map[ibisstore.Key]ibisstore.Row
	removed int
	// from is the version since which the copy has every change, and version the newest one that it has.
	from    uint64
	version uint64
	// fresh says that the store answers, and source that the node asks it itself: two nodes that asked each other would
	// both wait for news for ever.
	fresh   bool
	source  bool
	closed  bool
	changed chan struct{}
}

// NewCopy returns a copy that knows nothing.
func NewCopy() *Copy {
	return &Copy{
		rows:    make(map[ibisstore.Key]ibisstore.Row),
		changed: make(chan struct{}),
	}
}

// Note takes rows in; whole says that they are all that the node follows, as of the version.
func (c *Copy) Note(rows []ibisstore.Row, whole bool, version uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if whole {
		clear(c.rows)
		c.removed = 0
		c.from, c.version = version, version
	}
	for _, row := range rows {
		known, ok := c.rows[row.Key]
		if ok && known.Version >= row.Version {
			continue
		}
		if ok && known.Removed {
			c.removed--
		}
		if row.Removed {
			c.removed++
		}
		c.rows[row.Key] = row
	}
	c.version = max(c.version, version)
	if c.removed > mostRemoved {
		maps.DeleteFunc(c.rows, func(_ ibisstore.Key, row ibisstore.Row) bool { return row.Removed })
		c.removed = 0
		c.from = c.version
	}
	c.fresh = true
	c.wake()
}

// Reached says whether the node can follow the store at present; while it can't, neighbors must ask the store themselves.
func (c *Copy) Reached(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fresh = ok
	c.wake()
}

// Close ends what neighbors are told for good, and the questions that are held: they would hold up a node that stops.
func (c *Copy) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.wake()
}

// asks says whether the node's next question goes to the store itself.
func (c *Copy) asks(store bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.source == store {
		return
	}
	c.source = store
	c.wake()
}

func (c *Copy) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// After returns the changes after a version, in order, and a channel that is closed when there may be more. It reports
// whether the copy has them all, straight from the store.
func (c *Copy) After(version uint64) (ibisstore.Snapshot, <-chan struct{}, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || !c.fresh || !c.source || version < c.from {
		return ibisstore.Snapshot{}, c.changed, false
	}
	out := ibisstore.Snapshot{
		Version: c.version,
	}
	for _, row := range c.rows {
		if row.Version > version {
			out.Rows = append(out.Rows, row)
		}
	}
	slices.SortFunc(out.Rows, func(a, b ibisstore.Row) int { return cmp.Compare(a.Version, b.Version) })
	return out, c.changed, true
}
