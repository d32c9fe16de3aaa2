package ibisslot

import (
	"github.com/zeebo/xxh3"

	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

// KeyHash is the 64-bit hash that identifies a key within its slot space.
type KeyHash uint64

// HashKey returns the hash of a canonical key.
func HashKey(key string) KeyHash { return KeyHash(ibisid.HashKey(key)) }

// Slot returns the slot of the key in a space of the given number of slots, which must be a power of two.
func (h KeyHash) Slot(slots uint32) ibisid.SlotIndex {
	return ibisid.SlotIndex(uint64(h) & uint64(slots-1))
}

// SlotOf returns the slot of a canonical key in a space of the given number of slots, which must be a power of two.
func SlotOf(key string, slots uint32) ibisid.SlotIndex { return HashKey(key).Slot(slots) }

// MemberHash returns the hash of a member's name and incarnation for rendezvous hashing.
func MemberHash(m ibisid.Member) uint64 {
	return MixHashes(xxh3.HashString(string(m.Name)), uint64(m.Incarnation))
}

// MixHashes combines two hashes into one, with the finalizer of SplitMix64.
func MixHashes(a, b uint64) uint64 {
	x := a ^ (b+0x9e3779b97f4a7c15)*0xbf58476d1ce4e5b9
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
