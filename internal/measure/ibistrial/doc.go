// Package ibistrial compares policies of choice and admission on a few fake backend servers under fake time.
//
// A trial is a queue of events, doors that run the cores of the request packages, and servers with slots, service times,
// spells of slowness and a cold start. The same seed gives the same figures.
package ibistrial
