// Package rig plays the cases of review/11 to review/15 that are scripts: it starts relays as processes, with stand-ins for the
// platform, for backend servers and for clients, and judges what these have seen. It is in test files since the platform's names may stand
// only there.
package rig
