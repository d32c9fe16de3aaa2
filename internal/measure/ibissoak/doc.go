// Package ibissoak runs the real program as processes on one machine and injects faults from outside them, while callers
// and backend servers check what was promised.
//
// Nodes are processes of their own; the store, the backend servers and the proxies on every link between nodes and to
// the store are stand-ins in the soak's process. Faults come in series and overlap: links that are slow, reset, cut one
// way or silent; processes that are killed, paused, stopped and told to reload; a store that is slow, down, loses answers,
// applies late or forgets; backend servers that crash, are reborn under their id, drain, or answer without end;
// configurations that change.
// A seed draws the whole series. Only processes that the soak started are ended, by their ids.
package ibissoak
