// Package ibisid defines the typed identifiers that all other packages share: names of nodes, regions, tenants and
// services, slots and slot spaces, fencing tokens, document revisions, and request outcomes.
package ibisid
