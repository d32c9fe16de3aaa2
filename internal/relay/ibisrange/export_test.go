package ibisrange

// GrantCount returns the number of spans that the manager records as granted to its backend server.
func (k *Manager) GrantCount() int { return len(k.server.grants) }
