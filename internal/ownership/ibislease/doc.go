// Package ibislease implements the leases under which members own slots exclusively.
//
// A member is one incarnation of a node and has a row in the table. Its Holder renews the lease by heartbeats to three
// witnesses in different failure domains; the lease is valid while two of them acknowledged recently. Each Witness reports
// members without heartbeats as suspects to coordinators. A coordinator's Claimant collects promises of two witnesses
// that they never renew the lease again and then commits the member as dead to a deaths row of the table, after which other
// members may take over its slots. Coordinators are the live nodes that ChooseCoordinators selects for a deaths row.
//
// A row is direct if too few witnesses answer: then only commits of the row renew the lease.
//
// Holder, Witness and Claimant are state machines without I/O: Update takes an event and the local monotonic time and
// returns the effects that the caller carries out. A holder is valid only if it is valid under every state that its row in
// the table may have, including that of a commit with an unknown outcome. The rules and the alternatives considered are in
// docs/design/001-lease.md. Package ibisowner drives the three state machines in a node.
package ibislease
