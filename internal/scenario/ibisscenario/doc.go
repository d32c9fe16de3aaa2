// Package ibisscenario runs scripted scenarios: the platform stand-in, nodes and backend servers as processes of their own,
// with faults between them, driven by the commands that docs/SCENARIOS.md lists.
//
// A process is frozen and thawed by signals, killed without a word, and cut off by relays that stand in its connections.
package ibisscenario
