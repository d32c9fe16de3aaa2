package ibisname

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// Key is the canonical form of a key, "KEYSPACE:value/value", which is independent of any naming scheme.
type Key string

// SlotOf returns the index of the slot of a canonical key; slots is the number of slots and must be a power of two, otherwise
// SlotOf panics.
func SlotOf(key string, slots uint32) ibisid.SlotIndex {
	if slots == 0 || slots&(slots-1) != 0 {
		panic("ibisname: the number of slots is not a power of two")
	}
	return ibisid.SlotIndex(uint32(ibisid.HashKey(key)) & (slots - 1))
}
