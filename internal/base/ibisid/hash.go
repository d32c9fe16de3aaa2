package ibisid

import "github.com/zeebo/xxh3"

// keySeed must be the same on all nodes: it determines the slot of every key.
const keySeed = 0x1b15_71d6_e5e3_d001

// HashKey returns the hash of a canonical key; its low bits are the index of the key's slot.
func HashKey(key string) uint64 { return xxh3.HashStringSeed(key, keySeed) }
