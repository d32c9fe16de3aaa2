package ibismemory

// Part is a group of clients with a reserve of their own.
type Part int

const (
	// PartCallers are callers.
	PartCallers Part = iota
	// PartServer is the backend server of the own instance, which calls other services.
	PartServer
	// PartNodes are other nodes.
	PartNodes
	// PartReadiness are probes of the readiness port.
	PartReadiness
	// PartHeartbeats is the backend server of the own instance, which sends heartbeats.
	PartHeartbeats
	// PartMetrics are readers of metrics and status.
	PartMetrics

	partCount
)

// String returns the part's name in metrics and logs.
func (p Part) String() string {
	return [partCount]string{"callers", "server", "nodes", "readiness", "heartbeats", "metrics"}[p]
}

// Parts returns all parts.
func Parts() []Part {
	out := make([]Part, partCount)
	for i := range out {
		out[i] = Part(i)
	}
	return out
}

// Amount is a number of connections and a number of bytes.
type Amount struct {
	// Connections is the number of connections.
	Connections int
	// Bytes is the number of bytes that are held beside what each connection takes.
	Bytes int64
}

// Limits bounds what the clients of a process hold.
type Limits struct {
	// Total bounds all parts together; its bytes include those that open connections take.
	Total Amount
	// ConnectionBytes is what an open connection takes.
	ConnectionBytes int64
	// Reserved is what each part may hold whatever the others do.
	Reserved [partCount]Amount
	// Cap is the most that each part may hold. Bytes include those that open connections take.
	Cap [partCount]Amount
}

// Reserve sets the reserve and the cap of a part.
func (l *Limits) Reserve(p Part, reserved, most Amount) {
	l.Reserved[p], l.Cap[p] = reserved, most
}

// Budget counts what the clients of a process hold.
type Budget struct {
	limits Limits
	used   [partCount]Amount
	// claimed is what is used, or reserved and not used, of all parts.
	claimed Amount
}

// New returns a budget of which nothing is held.
func New(limits Limits) *Budget {
	b := &Budget{
		limits: limits,
	}
	for p := range limits.Reserved {
		b.claimed.Connections += limits.Reserved[p].Connections
		b.claimed.Bytes += limits.Reserved[p].Bytes
	}
	return b
}

// Used returns what a part holds; its bytes include those that open connections take.
func (b *Budget) Used(p Part) Amount { return b.used[p] }

// Open counts a connection if it fits, and reports whether it does.
func (b *Budget) Open(p Part) bool {
	return b.add(p, Amount{
		Connections: 1,
		Bytes:       b.limits.ConnectionBytes,
	})
}

// Close takes back a connection.
func (b *Budget) Close(p Part) {
	b.set(p, Amount{
		Connections: b.used[p].Connections - 1,
		Bytes:       b.used[p].Bytes - b.limits.ConnectionBytes,
	})
}

// Hold counts bytes if they fit, and reports whether they do.
func (b *Budget) Hold(p Part, bytes int64) bool {
	return b.add(p, Amount{
		Bytes: bytes,
	})
}

// Release takes back bytes.
func (b *Budget) Release(p Part, bytes int64) {
	b.set(p, Amount{
		Connections: b.used[p].Connections,
		Bytes:       b.used[p].Bytes - bytes,
	})
}

func (b *Budget) add(p Part, more Amount) bool {
	next := Amount{
		Connections: b.used[p].Connections + more.Connections,
		Bytes:       b.used[p].Bytes + more.Bytes,
	}
	most := b.limits.Cap[p]
	if next.Connections > most.Connections || next.Bytes > most.Bytes {
		return false
	}
	claimed := b.claimedWith(p, next)
	if more.Connections > 0 && next.Connections > b.limits.Reserved[p].Connections && claimed.Connections > b.limits.Total.Connections ||
		more.Bytes > 0 && next.Bytes > b.limits.Reserved[p].Bytes && claimed.Bytes > b.limits.Total.Bytes {
		return false
	}
	b.used[p], b.claimed = next, claimed
	return true
}

func (b *Budget) set(p Part, next Amount) {
	b.used[p], b.claimed = next, b.claimedWith(p, next)
}

// claimedWith returns what would be claimed if the part held the amount.
func (b *Budget) claimedWith(p Part, next Amount) Amount {
	reserved, used := b.limits.Reserved[p], b.used[p]
	return Amount{
		Connections: b.claimed.Connections - max(used.Connections, reserved.Connections) + max(next.Connections, reserved.Connections),
		Bytes:       b.claimed.Bytes - max(used.Bytes, reserved.Bytes) + max(next.Bytes, reserved.Bytes),
	}
}
