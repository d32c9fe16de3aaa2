// Package trial holds small deployments of the relay's own program, each with one disruption that the users' pages name, and checks
// one rule of theirs on what clients and backend servers see. It is built by its path, as review/build-2.sh does, and run by the
// scripts in review/6 to review/10.
package trial
