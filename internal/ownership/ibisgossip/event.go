package ibisgossip

import "github.com/ibisridge/ibisridge/internal/base/ibisid"

// Event is an input of a Gossiper.
type Event any

// Effect is an action that a Gossiper requests from its caller.
type Effect any

// TickEvent triggers the periodic sends. The caller passes it several times per second.
type TickEvent struct{}

// LocalRowsEvent delivers rows that the node itself read from the table or wrote to it.
type LocalRowsEvent struct {
	// Rows are the rows read or written.
	Rows []Row
}

// LinksEvent replaces the set of neighbours with which the node has open connections.
type LinksEvent struct {
	// Neighbours are the connected nodes; those beyond MaxNeighbours are ignored.
	Neighbours []Neighbour
}

// MessageEvent is a message from a neighbour.
type MessageEvent struct {
	// From is the sender.
	From ibisid.NodeName
	// Message is the received message.
	Message Message
}

// SendEffect sends a message to a neighbour.
type SendEffect struct {
	// To is the receiver.
	To ibisid.NodeName
	// Message is the message to send.
	Message Message
}

// RowsChangedEffect reports rows that are new or newer in the view.
type RowsChangedEffect struct {
	// Rows are the applied rows.
	Rows []Row
}

// Message is a message between two neighbours. Any field may be empty.
type Message struct {
	// Rows are copies that the receiver is not known to have.
	Rows []Row `json:"rows,omitempty"`
	// Offers are the heads of copies that the receiver may request.
	Offers []Head `json:"offers,omitempty"`
	// Wants are the keys of rows that the sender requests.
	Wants []string `json:"wants,omitempty"`
	// Root is the hash of the sender's digest and starts a digest exchange; zero for none.
	Root uint64 `json:"root,omitempty"`
	// Digest is the response to a root that differs.
	Digest *Digest `json:"digest,omitempty"`
	// Compare lists the buckets whose heads are in Heads.
	Compare []int `json:"compare,omitempty"`
	// Heads are the heads of all rows that the sender has in these buckets.
	Heads []Head `json:"heads,omitempty"`
	// Snapshot requests all rows of a bucket, numbered from one; zero for none.
	Snapshot int `json:"snapshot,omitempty"`
}

// Bytes returns the estimated size of the message in bytes.
func (m Message) Bytes() int {
	n := rowOverheadBytes + 8*len(m.Compare)
	for _, r := range m.Rows {
		n += r.Bytes()
	}
	for _, h := range m.Offers {
		n += h.bytes()
	}
	for _, h := range m.Heads {
		n += h.bytes()
	}
	for _, w := range m.Wants {
		n += len(w) + 2
	}
	if m.Digest != nil {
		n += 8 * Buckets
	}
	return n
}

func (m Message) empty() bool {
	return len(m.Rows)+len(m.Offers)+len(m.Wants)+len(m.Compare)+m.Snapshot == 0 && m.Root == 0 && m.Digest == nil
}
