// Package ibisplacement compares the placement of slots with a consistent hashing ring and with rendezvous hashing
// without bounds: how unevenly slots stand, and how many change their owner when a member joins or is lost.
package ibisplacement
