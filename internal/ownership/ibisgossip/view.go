package ibisgossip

import (
	"maps"
	"slices"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// Buckets is the number of buckets into which a view is divided by key hash for comparison.
const Buckets = 256

// Digest holds one hash per bucket of a view, or of the rows in the view that two regions share.
type Digest [Buckets]uint64

// View holds the highest version of each row that the node received.
type View struct {
	region  ibisid.RegionName
	buckets [Buckets]map[string]Row
	groups  map[string]*homesGroup
	rows    int
	bytes   int
}

// homesGroup is the digest of the rows with the same homes.
type homesGroup struct {
	homes  []ibisid.RegionName
	digest Digest
}

// NewView returns an empty view of a node in the region.
func NewView(region ibisid.RegionName) *View {
	return &View{
		region: region,
		groups: make(map[string]*homesGroup),
	}
}

// Apply stores the row if it is newer than the copy and allowed in the region, and reports whether it did.
func (v *View) Apply(row Row) bool {
	if !row.AllowedIn(v.region) || row.Version == 0 {
		return false
	}
	b := bucketOf(row.Key)
	old, known := v.buckets[b][row.Key]
	if known && old.Version >= row.Version {
		return false
	}
	if v.buckets[b] == nil {
		v.buckets[b] = make(map[string]Row)
	}
	if known {
		v.groupFor(old).digest[b] ^= old.head().hash()
		v.bytes -= old.Bytes()
		v.rows--
	}
	v.buckets[b][row.Key] = row
	v.groupFor(row).digest[b] ^= row.head().hash()
	v.bytes += row.Bytes()
	v.rows++
	return true
}

// Get returns the copy of a row and whether it exists.
func (v *View) Get(key string) (Row, bool) {
	row, ok := v.buckets[bucketOf(key)][key]
	return row, ok
}

// Version returns the version of the copy, zero if there is none.
func (v *View) Version(key string) ibisplatform.Version {
	row, _ := v.Get(key)
	return row.Version
}

// Rows returns the number of copies.
func (v *View) Rows() int { return v.rows }

// Bytes returns the estimated size of all copies in bytes.
func (v *View) Bytes() int { return v.bytes }

// Region returns the region of the node that holds the view.
func (v *View) Region() ibisid.RegionName { return v.region }

// SharedDigest returns the digest of the rows that are also allowed in the other region.
func (v *View) SharedDigest(region ibisid.RegionName) Digest {
	var shared Digest
	for _, g := range v.groups {
		if len(g.homes) > 0 && !slices.Contains(g.homes, region) {
			continue
		}
		for i, h := range g.digest {
			shared[i] ^= h
		}
	}
	return shared
}

// Bucket returns the copies in a bucket that are allowed in the region, in order of key.
func (v *View) Bucket(i int, region ibisid.RegionName) []Row {
	bucket := v.buckets[i]
	var rows []Row
	for _, key := range slices.Sorted(maps.Keys(bucket)) {
		if row := bucket[key]; row.AllowedIn(region) {
			rows = append(rows, row)
		}
	}
	return rows
}

// Root returns a single hash of the whole digest.
func (d Digest) Root() uint64 {
	root := uint64(0)
	for i, h := range d {
		root ^= h * (2*uint64(i) + 1)
	}
	return root
}

func (v *View) groupFor(row Row) *homesGroup {
	name := row.homesKey()
	g := v.groups[name]
	if g == nil {
		g = &homesGroup{homes: row.Homes}
		v.groups[name] = g
	}
	return g
}

func bucketOf(key string) int { return int(xxh3.HashString(key) % Buckets) }
