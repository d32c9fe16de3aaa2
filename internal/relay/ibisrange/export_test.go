package ibisrange

// GrantCount returns the number of spans that the keeper records as granted to its backend server.
func (k *Keeper) GrantCount() int { return len(k.server.grants) }
