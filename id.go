package ibisridge

import (
	"github.com/ibisridge/ibisridge/internal/base/ibisid"
)

type (
	// NodeName names a node; it is unique among live nodes and comes from the settings.
	NodeName = ibisid.NodeName
	// Incarnation distinguishes one run of a node from all other runs under the same name; zero is never used.
	Incarnation = ibisid.Incarnation
	// Member identifies one run of a node.
	Member = ibisid.Member
	// Place is the region and failure domain of a node.
	Place = ibisid.Place
	// RegionName names a region of the operators' topology.
	RegionName = ibisid.RegionName
	// DomainName names a failure domain; it is unique across regions.
	DomainName = ibisid.DomainName
	// ServiceName names a group of backend servers that answer the same requests.
	ServiceName = ibisid.ServiceName
	// TenantName names a tenant whose callers share limits and home regions.
	TenantName = ibisid.TenantName
	// ClassName names a request class, which carries priority and limits.
	ClassName = ibisid.ClassName
	// KeySpaceName names a set of keys that share fields and naming schemes.
	KeySpaceName = ibisid.KeySpaceName
	// SchemeName names one naming scheme of a key space.
	SchemeName = ibisid.SchemeName
	// Token is the fencing token of a slot or key; it never decreases.
	Token = ibisid.Token
	// Slot identifies one slot of a slot space.
	Slot = ibisid.Slot
	// SlotIndex numbers a slot within its slot space.
	SlotIndex = ibisid.SlotIndex
	// SlotSpace identifies a set of slots: those of a service, or those that a service keeps for a tenant with home
	// regions.
	SlotSpace = ibisid.SlotSpace
)

const (
	// SlotsPerPage is the maximum number of slots in one row of the table.
	SlotsPerPage = ibisid.SlotsPerPage
	// MaxSlots is the largest number of slots of a service.
	MaxSlots = ibisid.MaxSlots
)
