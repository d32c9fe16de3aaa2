package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/ownership/ibisslot"
)

type (
	// SlotMap is a node's view of all pages of all spaces.
	SlotMap = ibisslot.Map
	// Assignment is the owner of a slot or of a hot key; an assignment without an owner has token zero.
	Assignment = ibisslot.Assignment
	// KeyHash identifies one key within its slot space.
	KeyHash = ibisslot.KeyHash
	// AffectedPage is a page that refers to some of the given members.
	AffectedPage = ibisslot.AffectedPage
)

const (
	// MaxStandbys is the maximum number of standbys of a slot.
	MaxStandbys = ibisslot.MaxStandbys
)

// NewSlotMap returns a map without slot spaces.
func NewSlotMap() *SlotMap { return ibisslot.NewMap() }

// HashKey returns the hash that identifies a key in its slot space.
func HashKey(key string) KeyHash { return ibisslot.HashKey(key) }

// SlotOf returns the slot of a key in a space with the given number of slots, which must be a power of two.
func SlotOf(key string, slots uint32) SlotIndex { return ibisslot.SlotOf(key, slots) }
