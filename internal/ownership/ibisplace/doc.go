// Package ibisplace decides which members own and back up slots, by weighted rendezvous hashing under a bound on load.
//
// The page coordinators use a Placer to fill new pages, to replace dead owners and to rebalance loads, and a draining member
// uses one to choose new owners. The load of a member is the number of slots that it owns; its fair share of the slots is
// proportional to its weight.
//
// Decisions are recorded in pages, so that a membership change moves only slots without a live owner and slots of members
// outside their load bounds.
package ibisplace
