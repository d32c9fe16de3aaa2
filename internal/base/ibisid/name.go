package ibisid

// NodeName is the name of a node; it is set in the node's settings and unique among live nodes.
type NodeName string

// Incarnation distinguishes the runs of a node under the same name; zero is never used.
type Incarnation uint64

// RegionName is the name of a region in the topology that the operators configure.
type RegionName string

// DomainName is the name of a failure domain; it is unique across regions.
type DomainName string

// ServiceName is the name of a group of backend servers that serve the same requests.
type ServiceName string

// KeySpaceName is the name of a key space: a set of keys that share fields and naming schemes.
type KeySpaceName string

// SchemeName is the name of a naming scheme of a key space.
type SchemeName string

// TenantName is the name of a tenant; its callers share limits and home regions.
type TenantName string

// ClassName is the name of a request class, which sets priority and limits.
type ClassName string

// TeamName is the name of a team of operators that owns sections of the configuration document.
type TeamName string

// Revision is the revision number of the operators' configuration document; it only increases.
type Revision uint64

// Token is the fencing token of a slot or key; it only increases.
type Token uint64
