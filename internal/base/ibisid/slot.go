package ibisid

import "fmt"

// SlotIndex is the index of a slot within its slot space.
type SlotIndex uint32

// SlotSpace identifies a set of slots: those of a service, or those that a service reserves for a tenant with home regions.
type SlotSpace struct {
	// Service is the service whose keys hash to the slots.
	Service ServiceName `json:"service"`
	// Home is the tenant that the slots are reserved for, empty for the slots shared by tenants without home regions.
	Home TenantName `json:"home,omitempty"`
	// Hidden marks the slots that hold the idempotency keys of a service that is not partitioned by key.
	Hidden bool `json:"hidden,omitempty"`
}

// String returns the name of the space in the keys of table rows.
func (s SlotSpace) String() string {
	name := string(s.Service)
	if s.Hidden {
		name += "~once"
	}
	if s.Home != "" {
		name += "@" + string(s.Home)
	}
	return name
}

// Slot identifies one slot of a space, or one hot key in the slot that has an owner of its own.
type Slot struct {
	// Space is the slot space.
	Space SlotSpace `json:"space"`
	// Index is the index of the slot in its space.
	Index SlotIndex `json:"index"`
	// Hot is the hash of a hot key that has an owner of its own, zero for the slot itself.
	Hot uint64 `json:"hot,omitempty"`
}

// WithoutHotKey returns the slot that contains the hot key, or the slot itself if Hot is zero.
func (s Slot) WithoutHotKey() Slot {
	s.Hot = 0
	return s
}

// SlotsPerPage is the number of slots that are stored in one row of the table.
const SlotsPerPage = 512

// MaxSlots is the largest number of slots of a service.
const MaxSlots = 1 << 18

// Page returns the number of the page that holds the slot.
func (s Slot) Page() uint32 { return uint32(s.Index) / SlotsPerPage }

// String returns the slot as SPACE/INDEX, followed by "#" and the hash in hexadecimal for a hot key.
func (s Slot) String() string {
	if s.Hot != 0 {
		return fmt.Sprintf("%s/%d#%016x", s.Space, s.Index, s.Hot)
	}
	return fmt.Sprintf("%s/%d", s.Space, s.Index)
}
