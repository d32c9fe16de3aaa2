package ibisgossip

import (
	"encoding/binary"
	"slices"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
	"github.com/ibisridge/ibisridge/internal/peer/ibisplatform"
)

// rowOverheadBytes is the part of the estimated size of a row, head or message that does not depend on its content.
const rowOverheadBytes = 16

// Row is a copy of a row of the table.
type Row struct {
	// Key is the row's key.
	Key string `json:"key"`
	// Version is the version that was read or written.
	Version ibisplatform.Version `json:"version"`
	// Value is the content, nil if the row was deleted.
	Value []byte `json:"value,omitempty"`
	// CommitID is the id of the commit that wrote the row. A writer that got no response recognizes its own commit by it.
	CommitID string `json:"commitId,omitempty"`
	// Homes are the regions to which the row may be sent, in order; empty means all regions.
	Homes []ibisid.RegionName `json:"homes,omitempty"`
}

// Bytes returns the estimated size of the row in bytes.
func (r Row) Bytes() int { return len(r.Key) + len(r.Value) + len(r.CommitID) + rowOverheadBytes }

// AllowedIn reports whether the row may be kept in the region.
func (r Row) AllowedIn(region ibisid.RegionName) bool {
	return len(r.Homes) == 0 || slices.Contains(r.Homes, region)
}

// homesKey returns the key of the row's group in View.groups.
func (r Row) homesKey() string {
	names := make([]string, 0, len(r.Homes))
	for _, h := range r.Homes {
		names = append(names, string(h))
	}
	return strings.Join(names, ",")
}

// Head identifies a version of a row without its content.
type Head struct {
	// Key is the row's key.
	Key string `json:"key"`
	// Version is the row's version.
	Version ibisplatform.Version `json:"version"`
}

func (r Row) head() Head {
	return Head{
		Key:     r.Key,
		Version: r.Version,
	}
}

func (h Head) bytes() int { return len(h.Key) + rowOverheadBytes }

func (h Head) hash() uint64 {
	return xxh3.HashSeed(binary.BigEndian.AppendUint64([]byte(h.Key), uint64(h.Version)), 1)
}
