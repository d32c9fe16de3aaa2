// Package ibishot detects hot keys and decides which of them get an override, that is, an owner other than that of their slot.
//
// A Sketch estimates the request rates of the most frequent keys by the space-saving algorithm with exponentially decaying
// counts. A Decider plans the moves of hot keys between servers.
package ibishot
