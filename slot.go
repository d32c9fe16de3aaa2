package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

type (
	// SlotMap is a node's view of all pages of all spaces.
	SlotMap = ibisslot.Map
	// Assignment is the owner of a slot or of a hot key; an assignment without owner has the zero token.
	Assignment = ibisslot.Assignment
	// KeyHash names one key within its slot space.
	KeyHash = ibisslot.KeyHash
	// AffectedPage is a page that refers to some of the given members.
	AffectedPage = ibisslot.AffectedPage
)

const (
	// MaxStandbys is the number of standbys of a slot.
	MaxStandbys = ibisslot.MaxStandbys
)

// NewSlotMap returns a view of no space.
func NewSlotMap() *SlotMap { return ibisslot.NewMap() }

// HashKey returns the hash by which a key is known in its slot space.
func HashKey(key string) KeyHash { return ibisslot.HashKey(key) }

// SlotOf returns the slot of a key where the space has the given number of slots, a power of two.
func SlotOf(key string, slots uint32) SlotIndex { return ibisslot.SlotOf(key, slots) }
