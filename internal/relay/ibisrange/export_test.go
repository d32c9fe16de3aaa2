package ibisrange

// GrantCount returns the number of spans that the manager records as granted to its backend server.
func (m *Manager) GrantCount() int { return len(m.server.grants) }
