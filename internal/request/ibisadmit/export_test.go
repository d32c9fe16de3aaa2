package ibisadmit

// QueueCount returns the number of queues that the gate iterates over at each event.
func (g *Gate) QueueCount() int { return len(g.queues) }

// DisableHeadroom makes the gate keep no slots free.
func (g *Gate) DisableHeadroom() { g.withoutHeadroom = true }
